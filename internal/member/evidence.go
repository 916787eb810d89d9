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
	// suspectAfter and deadAfter bound the silence of a linked process.
	suspectAfter = 3 * time.Second
	deadAfter    = 6 * time.Second
	// gossipLifetime is deadAfter for a process that this one never had a link
	// to, in a fleet without a full mesh. Counts that travel by 20 members a
	// second left 39% of the pairs of 380 entry VMs older than 44 s, so a death
	// is told by those that had a link and not concluded from old counts.
	gossipLifetime = 2 * time.Minute
	// reportLifetime is the age at which a report takes an agent out of routing.
	reportLifetime = 3 * time.Second
	// forgetAfter is the silence after which a process that the VM list does
	// not name is dropped.
	forgetAfter = 2 * time.Minute
	// expired stands for the age of evidence from before a pause.
	expired = time.Hour
)

// record is what is known of one process.
type record struct {
	hello   wire.Hello
	count   uint64
	leaving bool
	// direct tells that a link to this start is up.
	direct bool
	// observed tells that a link was the last evidence: its silence is then
	// proof enough to tell others of a death.
	observed bool
	// dead tells that an observer, maybe this process, declared the death at
	// count. A higher count ends it.
	dead bool
	// heard is when a higher (start, count) was last learned. The zero time
	// stands for evidence from before a pause.
	heard time.Time
	// seen is heard without the effect of a pause; it decides on forgetting.
	seen time.Time
	// lost is when a link to the process was last lost.
	lost time.Time
	// news is when the start or leaving state last changed.
	news     time.Time
	report   wire.Report
	reported bool
	reportAt time.Time
}

// Heard notes a heartbeat received over a link.
func (v *View) Heard(h wire.Hello, b wire.Heartbeat) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r := v.direct(h); r != nil {
		r.count = max(r.count, b.Count)
		v.setLeaving(r, b.Leaving)
		r.confirm(b, v.now())
	}
}

// confirm notes that the last report still holds. The sequence number moves on,
// because routing counts the work sent since a report by it.
func (r *record) confirm(b wire.Heartbeat, at time.Time) {
	if b.ReportUptime > 0 && r.reported && b.ReportSequence >= r.report.Sequence {
		r.report.Uptime, r.report.Sequence, r.reportAt = b.ReportUptime, b.ReportSequence, at
	}
}

// Reported notes an agent's report received over a link.
func (v *View) Reported(h wire.Hello, report wire.Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.direct(h)
	if r == nil || (r.reported && report.Sequence < r.report.Sequence) {
		return
	}
	if !r.reported || group(&r.report) != group(&report) {
		v.signal()
	}
	r.report, r.reported, r.reportAt = report, true, v.now()
	v.setLeaving(r, report.Leaving)
}

// Lost notes that a link to a start of a process is down.
func (v *View) Lost(process fleet.ProcessID, start fleet.StartID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r, ok := v.records[process]; ok && r.hello.Start == start && r.direct {
		r.direct, r.lost = false, v.now()
		v.signal()
	}
}

// Gossip merges what a peer says about other processes.
func (v *View) Gossip(members []wire.Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range members {
		v.gossip(&members[i])
	}
}

func (v *View) gossip(m *wire.Member) {
	age := time.Duration(max(m.Age, 0)) * time.Millisecond
	if m.Hello.Process == v.config.Self.Process || m.Hello.Process == "" || age > forgetAfter {
		return
	}
	r := v.records[m.Hello.Process]
	if r == nil || m.Hello.Start > r.hello.Start && !r.direct {
		r = v.replace(m.Hello)
	}
	if m.Hello.Start != r.hello.Start {
		return
	}
	v.gossipCount(r, m.Count, age)
	v.setLeaving(r, m.Leaving)
}

// gossipCount merges a heartbeat count. An age above deadAfter says that the
// process is dead as of that count; who knows a higher count refutes it by
// telling that count as news.
func (v *View) gossipCount(r *record, count uint64, age time.Duration) {
	declared := age > deadAfter
	switch {
	case declared && count >= r.count && !r.direct:
		r.count = count
		v.setDead(r, true)
	case declared && v.alive(r):
		r.news = v.now()
	case !declared && count > r.count:
		r.count, r.observed = count, r.direct
		r.touch(v.now().Add(-age))
		v.setDead(r, false)
	}
}

func (v *View) setDead(r *record, dead bool) {
	if r.dead != dead {
		r.dead, r.news = dead, v.now()
		v.signal()
	}
}

// declare marks the processes whose silence this process observed as dead.
func (v *View) declare() {
	for _, r := range v.records {
		if r.observed && !r.heard.IsZero() && v.silence(r) > deadAfter {
			v.setDead(r, true)
		}
	}
}

// SetVMs merges the platform's VM list. A process that only the list names
// counts as heard at the time when the list first named it.
func (v *View) SetVMs(vms []config.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := make(map[fleet.ProcessID]config.VM, len(vms))
	for _, vm := range vms {
		next[vm.Name] = vm
		if vm.Name == v.config.Self.Process || v.records[vm.Name] != nil {
			continue
		}
		r := v.replace(wire.Hello{
			Process: vm.Name, Role: vm.Role, Zone: vm.Zone, Address: vm.Address, AdminAddress: vm.AdminAddress,
		})
		r.touch(v.now())
	}
	v.vms = next
	v.signal()
}

// Paused notes that the own process was stopped for a while: every report and
// heartbeat counts as expired until the next one arrives.
func (v *View) Paused() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.records {
		r.heard, r.reportAt = time.Time{}, time.Time{}
		r.observed = false // the silence was the own one
	}
}

// direct returns the record for evidence received over a link. It returns nil
// for an older start while the newer one is alive.
func (v *View) direct(h wire.Hello) *record {
	if h.Process == v.config.Self.Process {
		return nil
	}
	r := v.records[h.Process]
	if r != nil && h.Start < r.hello.Start && v.alive(r) && r.direct {
		return nil
	}
	if r == nil || r.hello != h {
		r = v.replace(h)
	}
	if !r.direct {
		r.direct = true
		v.signal()
	}
	r.observed = true
	r.touch(v.now())
	v.setDead(r, false)
	return r
}

// replace starts a record for a new start of a process. The group of an agent
// is kept until its first report, so that the choice of agents does not change.
func (v *View) replace(h wire.Hello) *record {
	r := &record{hello: h, news: v.now()}
	if old := v.records[h.Process]; old != nil {
		r.report = wire.Report{Service: old.report.Service, Model: old.report.Model}
		r.lost, r.seen = old.lost, old.seen
	}
	v.records[h.Process] = r
	v.signal()
	return r
}

func (r *record) touch(at time.Time) {
	if at.After(r.heard) {
		r.heard = at
	}
	if at.After(r.seen) {
		r.seen = at
	}
}

// setLeaving is sticky, because a start that leaves never comes back.
func (v *View) setLeaving(r *record, leaving bool) {
	if leaving && !r.leaving {
		r.leaving, r.news = true, v.now()
		v.signal()
	}
}

func (v *View) isLeaving(r *record) bool {
	return r.leaving || v.vms[r.hello.Process].State == config.VMLeaving
}

func (v *View) since(t time.Time) time.Duration {
	if t.IsZero() {
		return expired
	}
	return v.now().Sub(t)
}

func (v *View) silence(r *record) time.Duration { return v.since(r.heard) }

func (v *View) alive(r *record) bool {
	bound := deadAfter
	if !r.direct && !r.observed && len(v.records) >= fullMeshEntries {
		bound = gossipLifetime
	}
	return !r.dead && v.silence(r) <= bound
}

// sorted returns the records of a role by name and drops forgotten ones.
func (v *View) sorted(role fleet.Role) []*record {
	var list []*record
	for process, r := range v.records {
		_, listed := v.vms[process]
		if !listed && !r.direct && v.since(r.seen) > forgetAfter {
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
