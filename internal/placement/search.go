package placement

import (
	"math"
	"slices"
)

// none is the value of edit fields that do not apply.
const none = -1

// edit removes one replica of an expert from a rank and adds one on another; either
// rank can be none.
type edit struct{ expert, from, to int }

// change is one step of the search: an edit, and a second one that frees a slot for
// it (expert is none if no slot has to be freed).
type change struct {
	first, second edit
	// replicasRead is the number of replicas that are read from the weight store.
	replicasRead int
}

var noEdit = edit{expert: none, from: none, to: none}

// removalWeight is the cost of a change that loads nothing, in experts. It is not 0
// because a removed replica may have to be loaded again.
const removalWeight = 0.5

// weight returns the cost of a change, in experts that are loaded.
func (c change) weight() float64 {
	if c.replicasRead == 0 {
		return removalWeight
	}
	return float64(c.replicasRead)
}

// search is a local search that improves a map by single changes.
type search struct {
	group         Group
	loads         []float64
	speeds        []float64
	working       Map
	expertsByRank [][]int
	times         []float64 // expected time of each rank, see RankTimes
	idealTime     float64   // time of every rank if the load could be divided arbitrarily
	// pinned marks replicas that this search added, by rank and expert. They are
	// not removed again, so a lossy change cannot be undone.
	pinned [][]bool
	// current is the map in use, and added the number of experts per rank that the
	// search added to it.
	current       Map
	added         []int
	maxNewPerRank []int
	// maxTargets is Policy.MaxTargets.
	maxTargets int

	touchedRanks []int
	savedTimes   []float64
	isTouched    []bool
}

func newSearch(g Group, s State) *search {
	x := &search{
		group: g, loads: s.Loads, speeds: s.Speeds, working: s.Current.Clone(),
		expertsByRank: make([][]int, g.Ranks),
		times:         RankTimes(s.Current, s.Loads, s.Speeds),
		savedTimes:    make([]float64, g.Ranks),
		isTouched:     make([]bool, g.Ranks),
		pinned:        make([][]bool, g.Ranks),
		current:       s.Current,
		maxNewPerRank: s.MaxNewPerRank,
		added:         make([]int, g.Ranks),
	}
	for rank := range x.pinned {
		x.pinned[rank] = make([]bool, len(s.Loads))
	}
	for expert, ranks := range x.working {
		for _, rank := range ranks {
			x.expertsByRank[rank] = append(x.expertsByRank[rank], expert)
		}
	}
	total, speed := 0.0, 0.0
	for _, load := range s.Loads {
		total += load
	}
	for _, v := range s.Speeds {
		speed += v
	}
	x.idealTime = total / speed
	return x
}

// relativeMaxTime returns the time of the slowest rank divided by the ideal time.
func (x *search) relativeMaxTime() float64 { return slices.Max(x.times) / x.idealTime }

// penalty is a rank's term of the objective: the 16th power of its relative time.
// It follows the maximum closely, but unlike the maximum it also falls if only one
// of two equally slow ranks improves.
func (x *search) penalty(t float64) float64 {
	p := t / x.idealTime
	p *= p
	p *= p
	p *= p
	return p * p
}

// adjustTime adds tokens, which may be negative, to a rank and saves the rank's
// previous time for gain.
func (x *search) adjustTime(rank int, tokens float64) {
	if !x.isTouched[rank] {
		x.isTouched[rank] = true
		x.touchedRanks = append(x.touchedRanks, rank)
		x.savedTimes[rank] = x.times[rank]
	}
	x.times[rank] += tokens / x.speeds[rank]
}

// apply updates the rank times for an edit; the map stays as it is.
func (x *search) apply(e edit) {
	if e.expert == none {
		return
	}
	load, ranks := x.loads[e.expert], x.working[e.expert]
	before, after := len(ranks), len(ranks)
	if e.from != none {
		after--
	}
	if e.to != none {
		after++
	}
	replicaLoadBefore, replicaLoadAfter := load/float64(before), load/float64(after)
	for _, rank := range ranks {
		switch {
		case rank == e.from:
			x.adjustTime(rank, -replicaLoadBefore)
		case before != after:
			x.adjustTime(rank, replicaLoadAfter-replicaLoadBefore)
		}
	}
	if e.to != none {
		x.adjustTime(e.to, replicaLoadAfter)
	}
}

// gain returns by how much c reduces the objective. The rank times are restored.
func (x *search) gain(c change) float64 {
	x.apply(c.first)
	x.apply(c.second)
	g := 0.0
	for _, rank := range x.touchedRanks {
		g += x.penalty(x.savedTimes[rank]) - x.penalty(x.times[rank])
		x.times[rank] = x.savedTimes[rank]
		x.isTouched[rank] = false
	}
	x.touchedRanks = x.touchedRanks[:0]
	return g
}

// minPenaltyGain is the gain below which the effect of a change is rounding error.
const minPenaltyGain = 1e-9

func (x *search) slowestRank() int {
	slowest := 0
	for rank, t := range x.times {
		if t > x.times[slowest] {
			slowest = rank
		}
	}
	return slowest
}

// bestChange returns the change involving the slowest rank with the highest gain per
// loaded expert, and false when no change gains anything.
func (x *search) bestChange() (change, bool) {
	var found change
	best := minPenaltyGain
	x.forEachCandidate(func(c change) {
		if g := x.gain(c) / c.weight(); g > best {
			found, best = c, g
		}
	})
	return found, best > minPenaltyGain
}

// leastLossReplication returns the replication from the slowest rank that increases
// the objective least. If a replica of a hot expert takes as long as all experts of
// another rank, the expert can be split only when that rank first receives a replica
// and then gives up its other experts, and the first of these changes alone is a
// loss.
func (x *search) leastLossReplication() (change, bool) {
	var found change
	best := math.Inf(-1)
	x.forEachCandidate(func(c change) {
		if c.first.from != none {
			return
		}
		if g := x.gain(c); g > best {
			found, best = c, g
		}
	})
	return found, !math.IsInf(best, -1)
}

// forEachCandidate calls try with each change that involves the slowest rank.
func (x *search) forEachCandidate(try func(change)) {
	slowest := x.slowestRank()
	limit := x.maxTargetTime()
	for _, expert := range x.expertsByRank[slowest] {
		if len(x.working[expert]) > 1 && !x.pinned[slowest][expert] {
			try(change{edit{expert, slowest, none}, noEdit, 0})
		}
		for rank := range x.times {
			if x.times[rank] <= limit && x.times[rank] < x.times[slowest] && !slices.Contains(x.working[expert], rank) && x.canAdd(expert, rank) {
				x.tryTransfers(expert, slowest, rank, try)
			}
		}
	}
}

// tryTransfers calls try with each way to replicate or move an expert from the
// slowest rank to another one.
func (x *search) tryTransfers(expert, slowest, rank int, try func(change)) {
	replicate, move := edit{expert, none, rank}, edit{expert, slowest, rank}
	movable := !x.pinned[slowest][expert]
	tryWith := func(second edit) {
		try(change{replicate, second, 1})
		if movable {
			try(change{move, second, 1})
		}
	}
	if len(x.expertsByRank[rank]) < x.group.SlotsPerRank {
		tryWith(noEdit)
	}
	for _, other := range x.expertsByRank[rank] {
		if x.pinned[rank][other] {
			continue
		}
		if len(x.working[other]) > 1 {
			tryWith(edit{other, rank, none})
		}
		if movable && !slices.Contains(x.working[other], slowest) && x.canAdd(other, slowest) {
			try(change{move, edit{other, rank, slowest}, 2})
		}
	}
}

// maxTargetTime returns the time up to which a rank may receive an expert.
func (x *search) maxTargetTime() float64 {
	if x.maxTargets == 0 || x.maxTargets >= len(x.times) {
		return math.Inf(1)
	}
	sorted := slices.Clone(x.times)
	slices.Sort(sorted)
	return sorted[x.maxTargets-1]
}

// canAdd reports whether a rank may receive an expert. Experts that it has in the
// current map do not count against its limit.
func (x *search) canAdd(expert, rank int) bool {
	return x.maxNewPerRank == nil || x.added[rank] < x.maxNewPerRank[rank] || slices.Contains(x.current[expert], rank)
}

// commit applies a change to the working map.
func (x *search) commit(c change) {
	for _, e := range []edit{c.first, c.second} {
		if e.expert == none {
			continue
		}
		if e.from != none {
			x.working[e.expert] = removeSorted(x.working[e.expert], e.from)
			x.expertsByRank[e.from] = removeSorted(x.expertsByRank[e.from], e.expert)
		}
		if e.to != none {
			x.working[e.expert] = insertSorted(x.working[e.expert], e.to)
			x.expertsByRank[e.to] = insertSorted(x.expertsByRank[e.to], e.expert)
			x.pinned[e.to][e.expert] = true
			if !slices.Contains(x.current[e.expert], e.to) {
				x.added[e.to]++
			}
		}
	}
	// The times are recomputed to avoid accumulating rounding errors.
	x.times = RankTimes(x.working, x.loads, x.speeds)
}

func removeSorted(sorted []int, v int) []int {
	i, _ := slices.BinarySearch(sorted, v)
	return slices.Delete(sorted, i, i+1)
}

func insertSorted(sorted []int, v int) []int {
	i, _ := slices.BinarySearch(sorted, v)
	return slices.Insert(sorted, i, v)
}
