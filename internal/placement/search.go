package placement

import (
	"math"
	"slices"
)

const none = -1

// edit takes one replica of an expert from a rank and adds one on another;
// either rank can be none.
type edit struct{ expert, from, to int }

// change is one step of the search: an edit, and a second one that makes room
// for it (expert none when there is none).
type change struct {
	first, second edit
	// loads is the number of replicas that are read from the weight store.
	loads int
}

var noEdit = edit{expert: none, from: none, to: none}

// removalWeight is the price of a change that loads nothing, in experts. A
// dropped replica may have to be loaded again, so it is not free.
const removalWeight = 0.5

func (c change) weight() float64 {
	if c.loads == 0 {
		return removalWeight
	}
	return float64(c.loads)
}

// search improves a map by single changes.
type search struct {
	group  Group
	loads  []float64
	speeds []float64
	m      Map
	held   [][]int // experts per rank
	times  []float64
	ideal  float64 // time of every rank if the load could be split at will
	// pinned marks replicas that this search added, by rank and expert. They are
	// not taken away again, so a forced change cannot be undone.
	pinned [][]bool
	// present is the map in force, added the number of experts per rank that it
	// does not have there.
	present Map
	added   []int
	room    []int
	// targets is Policy.MaxTargets.
	targets int

	touched []int
	old     []float64
	marked  []bool
}

func newSearch(g Group, s State) *search {
	x := &search{
		group: g, loads: s.Loads, speeds: s.Speeds, m: s.Present.Clone(),
		held:    make([][]int, g.Ranks),
		times:   RankTimes(s.Present, s.Loads, s.Speeds),
		old:     make([]float64, g.Ranks),
		marked:  make([]bool, g.Ranks),
		pinned:  make([][]bool, g.Ranks),
		present: s.Present,
		room:    s.MaxNewPerRank,
		added:   make([]int, g.Ranks),
	}
	for rank := range x.pinned {
		x.pinned[rank] = make([]bool, len(s.Loads))
	}
	for expert, ranks := range x.m {
		for _, rank := range ranks {
			x.held[rank] = append(x.held[rank], expert)
		}
	}
	total, speed := 0.0, 0.0
	for _, load := range s.Loads {
		total += load
	}
	for _, v := range s.Speeds {
		speed += v
	}
	x.ideal = total / speed
	return x
}

// excess returns the overall skew against the ideal time.
func (x *search) excess() float64 { return slices.Max(x.times) / x.ideal }

// penalty is a rank's part of the objective. The maximum alone shows no gain
// when two ranks are equally slow; the 16th power follows it closely, and falls
// with each of them.
func (x *search) penalty(t float64) float64 {
	p := t / x.ideal
	p *= p
	p *= p
	p *= p
	return p * p
}

func (x *search) shift(rank int, tokens float64) {
	if !x.marked[rank] {
		x.marked[rank] = true
		x.touched = append(x.touched, rank)
		x.old[rank] = x.times[rank]
	}
	x.times[rank] += tokens / x.speeds[rank]
}

func (x *search) apply(e edit) {
	if e.expert == none {
		return
	}
	load, ranks := x.loads[e.expert], x.m[e.expert]
	before, after := len(ranks), len(ranks)
	if e.from != none {
		after--
	}
	if e.to != none {
		after++
	}
	partBefore, partAfter := load/float64(before), load/float64(after)
	for _, rank := range ranks {
		switch {
		case rank == e.from:
			x.shift(rank, -partBefore)
		case before != after:
			x.shift(rank, partAfter-partBefore)
		}
	}
	if e.to != none {
		x.shift(e.to, partAfter)
	}
}

// gain returns by how much the objective falls with c, and undoes c.
func (x *search) gain(c change) float64 {
	x.apply(c.first)
	x.apply(c.second)
	g := 0.0
	for _, rank := range x.touched {
		g += x.penalty(x.old[rank]) - x.penalty(x.times[rank])
		x.times[rank] = x.old[rank]
		x.marked[rank] = false
	}
	x.touched = x.touched[:0]
	return g
}

// minPenaltyGain is the gain below which a change is rounding.
const minPenaltyGain = 1e-9

func (x *search) slowest() int {
	slowest := 0
	for rank, t := range x.times {
		if t > x.times[slowest] {
			slowest = rank
		}
	}
	return slowest
}

// best returns the change with the highest gain per byte that concerns the
// slowest rank, and false when no change gains anything.
func (x *search) best() (change, bool) {
	var found change
	best := minPenaltyGain
	x.candidates(func(c change) {
		if g := x.gain(c) / c.weight(); g > best {
			found, best = c, g
		}
	})
	return found, best > minPenaltyGain
}

// forced returns the replication from the slowest rank that loses least. A hot
// expert whose replicas are as large as a rank's whole time can be split only
// when another rank first takes a replica and then sheds its other experts, and
// the first of these changes is a loss by itself.
func (x *search) forced() (change, bool) {
	var found change
	best := math.Inf(-1)
	x.candidates(func(c change) {
		if c.first.from != none {
			return
		}
		if g := x.gain(c); g > best {
			found, best = c, g
		}
	})
	return found, !math.IsInf(best, -1)
}

// candidates calls try with each change that concerns the slowest rank.
func (x *search) candidates(try func(change)) {
	slowest := x.slowest()
	limit := x.targetLimit()
	for _, expert := range x.held[slowest] {
		if len(x.m[expert]) > 1 && !x.pinned[slowest][expert] {
			try(change{edit{expert, slowest, none}, noEdit, 0})
		}
		for rank := range x.times {
			if x.times[rank] <= limit && x.times[rank] < x.times[slowest] && !slices.Contains(x.m[expert], rank) && x.mayAdd(expert, rank) {
				x.toRank(expert, slowest, rank, try)
			}
		}
	}
}

// toRank calls try with the ways to bring an expert of the slowest rank to
// another one.
func (x *search) toRank(expert, slowest, rank int, try func(change)) {
	replicate, move := edit{expert, none, rank}, edit{expert, slowest, rank}
	movable := !x.pinned[slowest][expert]
	room := func(second edit) {
		try(change{replicate, second, 1})
		if movable {
			try(change{move, second, 1})
		}
	}
	if len(x.held[rank]) < x.group.SlotsPerRank {
		room(noEdit)
	}
	for _, other := range x.held[rank] {
		if x.pinned[rank][other] {
			continue
		}
		if len(x.m[other]) > 1 {
			room(edit{other, rank, none})
		}
		if movable && !slices.Contains(x.m[other], slowest) && x.mayAdd(other, slowest) {
			try(change{move, edit{other, rank, slowest}, 2})
		}
	}
}

// targetLimit returns the time up to which a rank may get an expert.
func (x *search) targetLimit() float64 {
	if x.targets == 0 || x.targets >= len(x.times) {
		return math.Inf(1)
	}
	sorted := slices.Clone(x.times)
	slices.Sort(sorted)
	return sorted[x.targets-1]
}

// mayAdd reports whether a rank may get one more expert.
func (x *search) mayAdd(expert, rank int) bool {
	return x.room == nil || x.added[rank] < x.room[rank] || slices.Contains(x.present[expert], rank)
}

// commit makes a change permanent.
func (x *search) commit(c change) {
	for _, e := range []edit{c.first, c.second} {
		if e.expert == none {
			continue
		}
		if e.from != none {
			x.m[e.expert] = without(x.m[e.expert], e.from)
			x.held[e.from] = without(x.held[e.from], e.expert)
		}
		if e.to != none {
			x.m[e.expert] = with(x.m[e.expert], e.to)
			x.held[e.to] = with(x.held[e.to], e.expert)
			x.pinned[e.to][e.expert] = true
			if !slices.Contains(x.present[e.expert], e.to) {
				x.added[e.to]++
			}
		}
	}
	// Recomputed, so that rounding does not add up over the changes.
	x.times = RankTimes(x.m, x.loads, x.speeds)
}

func without(sorted []int, v int) []int {
	i, _ := slices.BinarySearch(sorted, v)
	return slices.Delete(sorted, i, i+1)
}

func with(sorted []int, v int) []int {
	i, _ := slices.BinarySearch(sorted, v)
	return slices.Insert(sorted, i, v)
}
