package mapcontrol

import (
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/placement"
)

const (
	// copySlowdown is the fraction by which passes take longer while a rank copies.
	copySlowdown = 0.15
	// byteCost is the cost of a copied byte, in seconds of the work of the whole group:
	// 1 GB costs about 0.5 ms.
	byteCost = 0.5e-3 / 1e9
	// switchDelay is the time between the end of copying and the use of the new map.
	switchDelay = 150 * time.Millisecond
	// planTriggerSkew is the skew from which a layer is improved, and planStopSkew the
	// skew at which the search ends.
	planTriggerSkew = 1.05
	planStopSkew    = 1.02
	// minPlanValue is the minimum value of a plan, in time saved; smaller values are
	// within the noise of the counts. minIdlePlanValue applies while the group is not
	// overloaded: its passes are short enough, and the cost of copies and orders is the
	// same, 0.04 of the score in a lightly loaded run.
	minPlanValue     = 60 * time.Millisecond
	minIdlePlanValue = 250 * time.Millisecond
	// busyThreshold is the fraction of the limit from which a group counts as busy.
	busyThreshold = 0.8
	// maxPlanTargets limits the ranks considered as targets in one change of a plan.
	// With all of 72 ranks a plan took 0.1 s of a gateway's CPU time.
	maxPlanTargets = 20
	// maxPlanChanges is the part of the limit on changes in one layer that does not
	// depend on the number of ranks.
	maxPlanChanges = 48
)

// copyBudgets returns the candidates for the maximum number of experts that a plan
// copies to one rank, over all layers. A rank copies experts one after the other, so a
// small budget gives a less balanced map earlier. More candidates delay the plan, and
// passes stay long meanwhile: five of them took 65 ms of a gateway with 72 ranks, and
// the best was nearly always one of these two.
func copyBudgets(layers int) []int { return []int{max(layers/2, 1), layers} }

// plan is a set of maps for a group and their expected effect.
type plan struct {
	maps []placement.Map
	// before and after are the pass times with the old and the new maps, relative to a
	// balanced group.
	before, after float64
	// copies is the number of experts that ranks copy, bytes their total size, and
	// copyTime the time that the rank with the most copies takes.
	copies   int
	bytes    float64
	copyTime time.Duration
	// value is the time that the plan saves until the next demand shift, minus the cost
	// of copying.
	value time.Duration
}

// worthwhile reports whether the group should switch to the plan. busy is the ratio of
// running requests to the limit.
func (p plan) worthwhile(busy float64) bool {
	least := minIdlePlanValue
	if busy >= busyThreshold {
		least = minPlanValue
	}
	return p.copies > 0 && p.value >= least
}

// choosePlan returns the plan with the highest value. Load pattern: demand that shifts
// every few seconds, faster than all experts could be copied.
func choosePlan(e *deployment.Engine, current []placement.Map, d *demand, speeds []float64, demandDuration time.Duration) (plan, error) {
	var best plan
	for i, copyBudget := range copyBudgets(len(current)) {
		p, err := makePlan(e, current, d, speeds, copyBudget)
		if err != nil {
			return plan{}, err
		}
		p.evaluate(demandDuration)
		if i == 0 || p.value > best.value {
			best = p
		}
	}
	return best, nil
}

// evaluate sets the value of a plan for demand that stays the same for demandDuration.
func (p *plan) evaluate(demandDuration time.Duration) {
	gain := 1 - p.after/p.before
	useful := max(demandDuration-p.copyTime-switchDelay, 0)
	p.value = time.Duration(gain*float64(useful)-copySlowdown*float64(p.copyTime)) - time.Duration(p.bytes*byteCost*float64(time.Second))
}

// makePlan improves the current maps of a group's layers for a demand, with at most
// copyBudget new experts on a rank.
func makePlan(e *deployment.Engine, current []placement.Map, d *demand, speeds []float64, copyBudget int) (plan, error) {
	group := placement.Group{Ranks: len(speeds), SlotsPerRank: e.SlotsPerRank, BytesPerExpert: int64(e.ExpertBytes)}
	policy := placement.Policy{
		// The value of the whole plan is computed later; a layer only applies changes
		// with a gain.
		Horizon: time.Minute, TriggerSkew: planTriggerSkew, StopSkew: planStopSkew, MinGain: 0.005, MaxLoading: time.Minute, MaxChanges: maxPlanChanges + len(speeds), MaxTargets: maxPlanTargets,
	}
	p := plan{maps: make([]placement.Map, len(current))}
	copies := make([]int, len(speeds))
	left := make([]int, len(speeds))
	for l := range current {
		for rank := range left {
			left[rank] = min(layerBudget(copyBudget, l, rank, len(current)), e.MaxNewPerRank)
		}
		state := placement.State{Loads: d.loads(l, e.Experts), Speeds: speeds, Current: current[l], MaxNewPerRank: left, BytesPerSecond: e.LinkBytesPerSecond * float64(len(speeds))}
		decision, err := placement.Decide(group, state, policy)
		if err != nil {
			return plan{}, err
		}
		p.maps[l] = decision.Map
		p.before += decision.SkewBefore / float64(len(current))
		p.after += decision.SkewAfter / float64(len(current))
		p.copies += countCopies(current[l], decision.Map, copies)
	}
	p.before = 1 - e.ExpertShare + e.ExpertShare*p.before
	p.after = 1 - e.ExpertShare + e.ExpertShare*p.after
	p.bytes = float64(p.copies) * e.ExpertBytes
	for _, n := range copies {
		p.copyTime = max(p.copyTime, time.Duration(float64(n)*e.ExpertBytes/e.LinkBytesPerSecond*float64(time.Second)))
	}
	return p, nil
}

// layerBudget returns the share of a rank's copy budget for one layer. The remainder
// goes to different layers on different ranks, so all layers can use some of the ranks
// even if the budget is small.
func layerBudget(copyBudget, layer, rank, layers int) int {
	return (copyBudget + (rank+layer)%layers) / layers
}

// countCopies adds the number of experts that are new on each rank to perRank and
// returns the total.
func countCopies(before, after placement.Map, perRank []int) int {
	n := 0
	for expert, ranks := range after {
		for _, rank := range ranks {
			if !containsRank(before[expert], rank) {
				perRank[rank]++
				n++
			}
		}
	}
	return n
}

func containsRank(ranks []int, rank int) bool {
	for _, r := range ranks {
		if r == rank {
			return true
		}
	}
	return false
}

// expertsByRank converts the maps of the layers into lists of experts by layer and
// rank.
func expertsByRank(layers []placement.Map, ranks int) [][][]int {
	out := make([][][]int, len(layers))
	for l, m := range layers {
		out[l] = make([][]int, ranks)
		for rank := range out[l] {
			// Engines reject a missing list, so a rank without experts gets an empty one.
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

// mapsFromRanks converts lists of experts by rank and layer into maps. Unknown experts
// are ignored.
func mapsFromRanks(experts [][][]int, layers, count int) []placement.Map {
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
