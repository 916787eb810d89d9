package mapcontrol

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/placement"
)

const (
	// planHorizon is how long a map is expected to serve before demand moves.
	planHorizon = 3 * time.Second
	// copySlowdown is the part by which passes take longer while a rank copies.
	copySlowdown = 0.15
	// planTrigger and planStop are the skews from which a layer is improved and at
	// which the search ends.
	planTrigger = 1.08
	planStop    = 1.03
	// planMinGain is the least gain in the time of a pass for which the group is
	// switched; a switch costs copies, orders and a pause of some milliseconds.
	planMinGain = 0.03
	// planCopyTime bounds the copying of one plan. A map that comes later serves
	// for a shorter time.
	planCopyTime = 600 * time.Millisecond
	// planChanges bounds the search in one layer.
	planChanges = 48
)

// plan is a map for a group, with what is expected of it.
type plan struct {
	layers []placement.Map
	// before and after are the times of a pass relative to that of an even group.
	before, after float64
	// copies is the number of experts that ranks copy, and copying the time that
	// the rank with the most takes.
	copies  int
	copying time.Duration
}

// worthwhile reports whether the group should switch to the plan.
func (p plan) worthwhile() bool {
	return p.copies > 0 && p.after < p.before*(1-planMinGain)
}

// makePlan improves the present maps of a group's layers for a demand. Load
// pattern: demand for experts that moves every few seconds, faster than a new
// map without regard to the present one could be copied.
func makePlan(e *deployment.Engine, present []placement.Map, d *demand, speeds []float64) (plan, error) {
	group := placement.Group{Ranks: len(speeds), SlotsPerRank: e.SlotsPerRank, BytesPerExpert: int64(e.ExpertBytes), NewPerRank: e.NewPerRank}
	policy := placement.Policy{
		Horizon: planHorizon, TriggerSkew: planTrigger, StopSkew: planStop, MinGain: 0.005,
		LoadingCost: copySlowdown, MaxLoading: planCopyTime / time.Duration(max(len(present), 1)), MaxChanges: planChanges,
	}
	p := plan{layers: make([]placement.Map, len(present))}
	perRank := make([]int, len(speeds))
	for l := range present {
		// Ranks copy at the same time, but not equally many experts.
		rate := e.LinkBytesPerSecond * float64(len(speeds)) / 2
		decision, err := placement.Decide(group, placement.State{Loads: d.loads(l, e.Experts), Speeds: speeds, Present: present[l], BytesPerSecond: rate}, policy)
		if err != nil {
			return plan{}, err
		}
		p.layers[l] = decision.Map
		p.before += decision.SkewBefore / float64(len(present))
		p.after += decision.SkewAfter / float64(len(present))
		p.copies += countCopies(present[l], decision.Map, perRank)
	}
	p.before = 1 - e.ExpertShare + e.ExpertShare*p.before
	p.after = 1 - e.ExpertShare + e.ExpertShare*p.after
	for _, n := range perRank {
		p.copying = max(p.copying, time.Duration(float64(n)*e.ExpertBytes/e.LinkBytesPerSecond*float64(time.Second)))
	}
	return p, nil
}

// countCopies adds the experts that are new to each rank.
func countCopies(before, after placement.Map, perRank []int) int {
	n := 0
	for expert, ranks := range after {
		for _, rank := range ranks {
			if !has(before[expert], rank) {
				perRank[rank]++
				n++
			}
		}
	}
	return n
}

func has(ranks []int, rank int) bool {
	for _, r := range ranks {
		if r == rank {
			return true
		}
	}
	return false
}

// byRank turns the maps of the layers into the experts by layer and rank.
func byRank(layers []placement.Map, ranks int) [][][]int {
	out := make([][][]int, len(layers))
	for l, m := range layers {
		out[l] = make([][]int, ranks)
		for expert, holders := range m {
			for _, rank := range holders {
				out[l][rank] = append(out[l][rank], expert)
			}
		}
	}
	return out
}

// fromRanks turns the experts of each rank, by rank and layer, into maps.
func fromRanks(experts [][][]int, layers, count int) []placement.Map {
	out := make([]placement.Map, layers)
	for l := range out {
		out[l] = make(placement.Map, count)
		for rank := range experts {
			for _, expert := range experts[rank][l] {
				if expert >= 0 && expert < count {
					out[l][expert] = append(out[l][expert], rank)
				}
			}
		}
	}
	return out
}
