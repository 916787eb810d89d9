package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// suspectAfter is the time without a heartbeat or report after which a linked
	// process is suspect, and deadAfter the time without evidence of life after
	// which a process counts as dead.
	suspectAfter = 3 * time.Second
	deadAfter    = 6 * time.Second
	// gossipLifetime replaces deadAfter for a process without a link whose latest
	// evidence came by gossip, in a fleet without a full mesh. When each of
	// 380 entry VMs gossiped 20 members per second, the counts of 39% of the pairs
	// were older than 44 s. Therefore a death is reported by the processes that had a
	// link, and not inferred from old counts.
	gossipLifetime = 2 * time.Minute
	// reportLifetime is the maximum age of a report; an agent with an older one
	// receives no requests.
	reportLifetime = 3 * time.Second
	// forgetAfter is the time without evidence after which the record of a process
	// that is not in the VM list is deleted.
	forgetAfter = 2 * time.Minute
	// expiredAge is returned as the age of evidence from before a pause; it exceeds
	// all the limits above.
	expiredAge = time.Hour
)

// record holds the evidence about one start of a process.
type record struct {
	hello   wire.Hello
	count   uint64
	leaving bool
	// linked is true while a link to this start is up.
	linked bool
	// linkEvidence is true if the latest evidence came over a link. Only then may
	// this process declare the other one dead because of its silence.
	linkEvidence bool
	// dead is true if this or another process declared the process dead as of
	// count. A higher count refutes the declaration.
	dead bool
	// evidenceAt is when a higher (start, count) was last learned. It is the zero
	// time if that was before a pause of this process.
	evidenceAt time.Time
	// lastEvidenceAt is evidenceAt without the reset by a pause. It decides when
	// the record is deleted.
	lastEvidenceAt time.Time
	// linkLostAt is when a link to the process was last lost.
	linkLostAt time.Time
	// changedAt is when the start, the leaving state or the death declaration last
	// changed, or when a declaration that this process refutes arrived.
	changedAt  time.Time
	report     wire.Report
	hasReport  bool
	reportedAt time.Time
}

// RecordHeartbeat records a heartbeat received over a link.
func (v *View) RecordHeartbeat(h wire.Hello, b wire.Heartbeat) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r := v.linkedRecord(h); r != nil {
		r.count = max(r.count, b.Count)
		v.setLeaving(r, b.Leaving)
		r.confirmReport(b, v.now())
	}
}

// confirmReport records that the last report is still valid. It advances the
// sequence number, which tells routing to restart its count of the requests sent
// since the report.
func (r *record) confirmReport(b wire.Heartbeat, at time.Time) {
	if b.ReportUptime > 0 && r.hasReport && b.ReportSequence >= r.report.Sequence {
		r.report.Uptime, r.report.Sequence, r.reportedAt = b.ReportUptime, b.ReportSequence, at
	}
}

// RecordReport records an agent's report received over a link. It ignores a
// report with a lower sequence number than the last one.
func (v *View) RecordReport(h wire.Hello, report wire.Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.linkedRecord(h)
	if r == nil || (r.hasReport && report.Sequence < r.report.Sequence) {
		return
	}
	if !r.hasReport || group(&r.report) != group(&report) {
		v.notifyChanged()
	}
	r.report, r.hasReport, r.reportedAt = report, true, v.now()
	v.setLeaving(r, report.Leaving)
}

// RecordLinkLoss records that the link to a start of a process is down.
func (v *View) RecordLinkLoss(process fleet.ProcessID, start fleet.StartID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r, ok := v.records[process]; ok && r.hello.Start == start && r.linked {
		r.linked, r.linkLostAt = false, v.now()
		v.notifyChanged()
	}
}

// MergeGossip merges the state of other processes that a peer sent.
func (v *View) MergeGossip(members []wire.Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range members {
		v.mergeMember(&members[i])
	}
}

func (v *View) mergeMember(m *wire.Member) {
	age := time.Duration(max(m.Age, 0)) * time.Millisecond
	if m.Hello.Process == v.config.Self.Process || m.Hello.Process == "" || age > forgetAfter {
		return
	}
	r := v.records[m.Hello.Process]
	if r == nil || m.Hello.Start > r.hello.Start && !r.linked {
		r = v.newRecord(m.Hello)
	}
	if m.Hello.Start != r.hello.Start {
		return
	}
	v.mergeCount(r, m.Count, age)
	v.setLeaving(r, m.Leaving)
}

// mergeCount merges a heartbeat count. An age above deadAfter declares the
// process dead as of that count. A process that considers it alive refutes the
// declaration by gossiping its own count with priority.
func (v *View) mergeCount(r *record, count uint64, age time.Duration) {
	declared := age > deadAfter
	switch {
	case declared && count >= r.count && !r.linked:
		r.count = count
		v.setDead(r, true)
	case declared && v.alive(r):
		r.changedAt = v.now()
	case !declared && count > r.count:
		r.count, r.linkEvidence = count, r.linked
		r.recordEvidence(v.now().Add(-age))
		v.setDead(r, false)
	}
}

func (v *View) setDead(r *record, dead bool) {
	if r.dead != dead {
		r.dead, r.changedAt = dead, v.now()
		v.notifyChanged()
	}
}

// declareDeaths marks a process as dead if its latest evidence came over a link
// to this process and is older than deadAfter.
func (v *View) declareDeaths() {
	for _, r := range v.records {
		if r.linkEvidence && !r.evidenceAt.IsZero() && v.silence(r) > deadAfter {
			v.setDead(r, true)
		}
	}
}

// SetVMs merges the platform's VM list. For a process that is known only from the
// list, its first appearance there counts as evidence of life.
func (v *View) SetVMs(vms []config.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := make(map[fleet.ProcessID]config.VM, len(vms))
	for _, vm := range vms {
		next[vm.Name] = vm
		if vm.Name == v.config.Self.Process || v.records[vm.Name] != nil {
			continue
		}
		r := v.newRecord(wire.Hello{
			Process: vm.Name, Role: vm.Role, Zone: vm.Zone, Address: vm.Address, AdminAddress: vm.AdminAddress,
		})
		r.recordEvidence(v.now())
	}
	v.vms = next
	v.notifyChanged()
}

// ExpireAll marks all reports and heartbeats as expired until the next ones
// arrive. It must be called after a pause of this process.
func (v *View) ExpireAll() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.records {
		r.evidenceAt, r.reportedAt = time.Time{}, time.Time{}
		r.linkEvidence = false // the pause of this process caused the silence
	}
}

// linkedRecord returns the record to which evidence received over a link belongs.
// It returns nil for this process itself, and for an older start while the newer
// one is linked and alive.
func (v *View) linkedRecord(h wire.Hello) *record {
	if h.Process == v.config.Self.Process {
		return nil
	}
	r := v.records[h.Process]
	if r != nil && h.Start < r.hello.Start && v.alive(r) && r.linked {
		return nil
	}
	if r == nil || r.hello != h {
		r = v.newRecord(h)
	}
	if !r.linked {
		r.linked = true
		v.notifyChanged()
	}
	r.linkEvidence = true
	r.recordEvidence(v.now())
	v.setDead(r, false)
	return r
}

// newRecord creates the record for a new start of a process. It keeps the model
// or service of an agent until the first report, so that the choice of agents to
// link to does not change.
func (v *View) newRecord(h wire.Hello) *record {
	r := &record{hello: h, changedAt: v.now()}
	if old := v.records[h.Process]; old != nil {
		r.report = wire.Report{Service: old.report.Service, Model: old.report.Model}
		r.linkLostAt, r.lastEvidenceAt = old.linkLostAt, old.lastEvidenceAt
	}
	v.records[h.Process] = r
	v.notifyChanged()
	return r
}

func (r *record) recordEvidence(at time.Time) {
	if at.After(r.evidenceAt) {
		r.evidenceAt = at
	}
	if at.After(r.lastEvidenceAt) {
		r.lastEvidenceAt = at
	}
}

// setLeaving marks a process as leaving if leaving is true. It never clears the
// mark, because a process that is leaving returns to service only with a new
// start.
func (v *View) setLeaving(r *record, leaving bool) {
	if leaving && !r.leaving {
		r.leaving, r.changedAt = true, v.now()
		v.notifyChanged()
	}
}

func (v *View) isLeaving(r *record) bool {
	return r.leaving || v.vms[r.hello.Process].State == config.VMLeaving
}

func (v *View) since(t time.Time) time.Duration {
	if t.IsZero() {
		return expiredAge
	}
	return v.now().Sub(t)
}

func (v *View) silence(r *record) time.Duration { return v.since(r.evidenceAt) }

func (v *View) alive(r *record) bool {
	bound := deadAfter
	if !r.linked && !r.linkEvidence && len(v.records) >= maxFullMeshEntries {
		bound = gossipLifetime
	}
	return !r.dead && v.silence(r) <= bound
}

// sortedRecords returns the records of a role, sorted by process name. It deletes
// the records that are unlinked, not in the VM list and older than forgetAfter.
func (v *View) sortedRecords(role fleet.Role) []*record {
	var list []*record
	for process, r := range v.records {
		_, listed := v.vms[process]
		if !listed && !r.linked && v.since(r.lastEvidenceAt) > forgetAfter {
			delete(v.records, process)
			continue
		}
		if r.hello.Role == role {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int { return cmp.Compare(a.hello.Process, b.hello.Process) })
	return list
}
