package dynamic

import (
	"fmt"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Limits on a group document.
const (
	maxRanks   = 1024
	maxExperts = 1 << 16
)

// Group is a model group: engines that run their forward passes in lockstep.
type Group struct {
	Name  string
	Model string
	// Number is the version number of the expert map, which is the document's
	// revision.
	Number uint64
	// Ranks holds the agent of each rank; the first agent is the coordinator.
	Ranks []fleet.ProcessID
	// Placement holds the rank of each expert. Experts that the document does not
	// place are distributed over the ranks in turn.
	Placement []int
}

func (g *groupSchema) check(f *tomlfile.File) {
	if !namePattern.MatchString(g.Model) {
		f.Add("model", allowedName, "%q is not a valid name", g.Model)
	}
	tomlfile.InRange(f, "experts", g.Experts, 1, maxExperts)
	if len(g.Ranks) == 0 || len(g.Ranks) > maxRanks {
		f.Add("ranks", fmt.Sprintf("1 to %d agents", maxRanks), "there are %d ranks", len(g.Ranks))
	}
	checkNames(f, "ranks", g.Ranks)
	seen := make(map[string]bool, len(g.Ranks))
	for _, agent := range g.Ranks {
		checkUnique(f, "ranks", agent, seen)
	}
	if len(g.Placement) != 0 && len(g.Placement) != g.Experts {
		f.Add("placement", "one rank per expert, or none", "there are %d entries for %d experts", len(g.Placement), g.Experts)
	}
	for _, rank := range g.Placement {
		if rank < 0 || rank >= len(g.Ranks) {
			f.Add("placement", fmt.Sprintf("0 to %d", len(g.Ranks)-1), "%d is not a rank", rank)
			return
		}
	}
}

// addGroup adds a group. When two documents list the same agent, the group of the
// document with the lower revision is in force and the other one is not.
func (b *builder) addGroup(name string, d wire.Document) {
	var s groupSchema
	if !b.decode(d, &s) {
		return
	}
	g := Group{Name: name, Model: s.Model, Number: d.Revision, Placement: s.Placement}
	for _, agent := range s.Ranks {
		if b.groupedAgents[agent] {
			b.addInactive(d.Name, "agent "+agent, "a document of a lower revision has the same agent")
			return
		}
		g.Ranks = append(g.Ranks, fleet.ProcessID(agent))
	}
	for _, agent := range s.Ranks {
		b.groupedAgents[agent] = true
	}
	for e := len(g.Placement); e < s.Experts; e++ {
		g.Placement = append(g.Placement, e%len(g.Ranks))
	}
	b.effective.Groups[name] = g
}
