package mapcontrol

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/placement"
)

const (
	// copySlowdown is the part by which passes take longer while a rank copies.
	copySlowdown = 0.15
	// bytePrice is what a copied byte costs, in seconds of the work of the whole
	// group: 1 GB costs as much as about 0.5 ms.
	bytePrice = 0.5e-3 / 1e9
	// switchDelay is the time between the end of copying and the new map.
	switchDelay = 150 * time.Millisecond
	// planTrigger and planStop are the skews from which a layer is improved and at
	// which the search ends.
	planTrigger = 1.05
	planStop    = 1.02
	// planMinValue is the least value of a plan, in time saved. Below it the noise
	// of the counts decides. calmMinValue holds while the group has time to spare:
	// its passes are short enough, and copies and orders have their price all the
	// same, 0.04 of the worth of a calm day.
	planMinValue = 60 * time.Millisecond
	calmMinValue = 250 * time.Millisecond
	// busyShare is the part of the limit from which a group has no time to spare.
	busyShare = 0.8
	// planTargets bounds the ranks that get an expert in one change of a plan. With
	// all of 72 ranks a plan took 0.1 s of a gateway's processor.
	planTargets = 20
	// planChanges bounds the search in one layer.
	planChanges = 48
)

// planRooms returns the numbers of experts that a plan may bring to one rank,
// over all layers. A rank copies one after the other, so a small number gives a
// map that is less even, but sooner. Each further number delays the plan: five of
// them took 65 ms of a gateway with 72 ranks, in which passes stay long, and the
// best was nearly always one of these.
func planRooms(layers int) []int { return []int{max(layers/2, 1), layers} }

// plan is a map for a group, with what is expected of it.
type plan struct {
	layers []placement.Map
	// before and after are the times of a pass relative to that of an even group.
	before, after float64
	// copies is the number of experts that ranks copy, and copying the time that
	// the rank with the most takes.
	copies  int
	bytes   float64
	copying time.Duration
	// value is the time that the plan saves while the demand lasts, less what
	// copying costs.
	value time.Duration
}

// worthwhile reports whether the group should switch to the plan. busy is the part
// of the requests it may run that it runs.
func (p plan) worthwhile(busy float64) bool {
	least := calmMinValue
	if busy >= busyShare {
		least = planMinValue
	}
	return p.copies > 0 && p.value >= least
}

// choosePlan returns the plan with the highest value. Load pattern: demand that
// moves every few seconds, faster than all experts could be copied.
func choosePlan(e *deployment.Engine, present []placement.Map, d *demand, speeds []float64, lasts time.Duration) (plan, error) {
	var best plan
	for i, room := range planRooms(len(present)) {
		p, err := makePlan(e, present, d, speeds, room)
		if err != nil {
			return plan{}, err
		}
		p.weigh(lasts)
		if i == 0 || p.value > best.value {
			best = p
		}
	}
	return best, nil
}

// weigh sets the value of a plan for a demand that lasts for a time.
func (p *plan) weigh(lasts time.Duration) {
	gain := 1 - p.after/p.before
	useful := max(lasts-p.copying-switchDelay, 0)
	p.value = time.Duration(gain*float64(useful)-copySlowdown*float64(p.copying)) - time.Duration(p.bytes*bytePrice*float64(time.Second))
}

// makePlan improves the present maps of a group's layers for a demand, with at
// most room new experts on a rank.
func makePlan(e *deployment.Engine, present []placement.Map, d *demand, speeds []float64, room int) (plan, error) {
	group := placement.Group{Ranks: len(speeds), SlotsPerRank: e.SlotsPerRank, BytesPerExpert: int64(e.ExpertBytes)}
	policy := placement.Policy{
		// The value of the whole plan is weighed later; a layer only takes the
		// changes that gain something.
		Horizon: time.Minute, TriggerSkew: planTrigger, StopSkew: planStop, MinGain: 0.005, MaxLoading: time.Minute, MaxChanges: planChanges + len(speeds), MaxTargets: planTargets,
	}
	p := plan{layers: make([]placement.Map, len(present))}
	copies := make([]int, len(speeds))
	left := make([]int, len(speeds))
	for l := range present {
		for rank := range left {
			left[rank] = min(roomIn(room, l, rank, len(present)), e.MaxNewPerRank)
		}
		state := placement.State{Loads: d.loads(l, e.Experts), Speeds: speeds, Present: present[l], MaxNewPerRank: left, BytesPerSecond: e.LinkBytesPerSecond * float64(len(speeds))}
		decision, err := placement.Decide(group, state, policy)
		if err != nil {
			return plan{}, err
		}
		p.layers[l] = decision.Map
		p.before += decision.SkewBefore / float64(len(present))
		p.after += decision.SkewAfter / float64(len(present))
		p.copies += countCopies(present[l], decision.Map, copies)
	}
	p.before = 1 - e.ExpertShare + e.ExpertShare*p.before
	p.after = 1 - e.ExpertShare + e.ExpertShare*p.after
	p.bytes = float64(p.copies) * e.ExpertBytes
	for _, n := range copies {
		p.copying = max(p.copying, time.Duration(float64(n)*e.ExpertBytes/e.LinkBytesPerSecond*float64(time.Second)))
	}
	return p, nil
}

// roomIn shares the room of a rank out to the layers. Each rank favours other
// layers, so that all layers can use a part of the ranks when room is small.
func roomIn(room, layer, rank, layers int) int {
	return (room + (rank+layer)%layers) / layers
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
		for rank := range out[l] {
			// A rank without experts has an empty list; engines refuse an absent one.
			out[l][rank] = []int{}
		}
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
