// Package query reports the state of the fleet and of this process. It changes
// nothing.
package query

import (
	"math/rand/v2"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/usage"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// View is the part of the member view that Queries uses.
type View interface {
	Self() wire.Hello
	Entries() []member.EntryVM
	Agents() []member.Agent
}

// Queries holds the sources that the queries read.
type Queries struct {
	View       View
	Store      *config.Store
	Quarantine *quarantine.Registry
	Usage      *usage.Usage
	// Leaving reports whether this process is leaving.
	Leaving func() bool
	Started time.Time
	// InFlight returns the number of open requests.
	InFlight func() int
}

// Address is the address and zone at which an entry VM accepts callers.
type Address struct {
	Address string
	Zone    fleet.AvailabilityZone
}

// Addresses returns the entry VMs that accept callers: those of the given zone
// first, then all others, each group in random order.
func (q *Queries) Addresses(zone fleet.AvailabilityZone) []Address {
	var sameZone, otherZones []Address
	for _, e := range q.View.Entries() {
		if !q.acceptsCallers(e) {
			continue
		}
		a := Address{Address: e.Hello.CallerAddress, Zone: e.Hello.Zone}
		if zone != "" && a.Zone == zone {
			sameZone = append(sameZone, a)
		} else {
			otherZones = append(otherZones, a)
		}
	}
	shuffle(sameZone)
	shuffle(otherZones)
	return append(sameZone, otherZones...)
}

// acceptsCallers reports whether callers may be sent to an entry VM. This process
// always counts as alive.
func (q *Queries) acceptsCallers(e member.EntryVM) bool {
	if e.Hello.Process == q.View.Self().Process {
		return !q.Leaving() && !e.Leaving
	}
	return e.Alive && !e.Leaving && e.Hello.CallerAddress != ""
}

func shuffle(a []Address) {
	rand.Shuffle(len(a), func(i, j int) { a[i], a[j] = a[j], a[i] })
}

// Status is the state of this process.
type Status struct {
	Process        fleet.ProcessID        `json:"process"`
	Start          fleet.StartID          `json:"start,string"`
	Zone           fleet.AvailabilityZone `json:"zone"`
	UptimeSeconds  int64                  `json:"uptime_seconds"`
	Ready          bool                   `json:"ready"`
	Leaving        bool                   `json:"leaving"`
	InFlight       int                    `json:"in_flight"`
	ConfigRevision uint64                 `json:"config_revision"`
	ConfigHash     uint64                 `json:"config_hash,string"`
	PlatformAgeMs  int64                  `json:"platform_age_ms"`
	Entries        int                    `json:"entries"`
	Agents         int                    `json:"agents"`
	// Suspected and Quarantined are numbers of fingerprints.
	Suspected   int `json:"suspected"`
	Quarantined int `json:"quarantined"`
}

// Status returns the state of this process.
func (q *Queries) Status() Status {
	self := q.View.Self()
	suspected, quarantined := q.Quarantine.Counts()
	return Status{
		Suspected: suspected, Quarantined: quarantined,
		Process: self.Process, Start: self.Start, Zone: self.Zone,
		UptimeSeconds: int64(time.Since(q.Started).Seconds()),
		Ready:         q.Store.Ready(), Leaving: q.Leaving(), InFlight: q.InFlight(),
		ConfigRevision: q.Store.Revision(), ConfigHash: q.Store.Hash(), PlatformAgeMs: q.Store.PlatformAge().Milliseconds(),
		Entries: len(q.View.Entries()), Agents: len(q.View.Agents()),
	}
}
