package placement

import (
	"cmp"
	"math"
	"slices"
)

func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// RankTimes returns the expected time of each rank, in units of the time that a
// rank of speed 1 takes for one token.
func RankTimes(m Map, loads, speeds []float64) []float64 {
	times := make([]float64, len(speeds))
	for expert, ranks := range m {
		replicaLoad := loads[expert] / float64(len(ranks))
		for _, rank := range ranks {
			times[rank] += replicaLoad / speeds[rank]
		}
	}
	return times
}

// Skew returns the longest time divided by the mean time, and 1 if there is no
// load.
func Skew(times []float64) float64 {
	sum := 0.0
	for _, t := range times {
		sum += t
	}
	if sum == 0 {
		return 1
	}
	return slices.Max(times) * float64(len(times)) / sum
}

// Pack builds a map from scratch, for groups that have no map yet: spare slots go
// to the experts with the highest load per replica, and replicas are placed by the
// longest-processing-time-first rule. Errors wrap ErrInput.
func Pack(g Group, loads, speeds []float64) (Map, error) {
	if err := g.validateLoads(loads, speeds); err != nil {
		return nil, err
	}
	counts := replicaCounts(g, loads)
	order := make([]int, len(loads))
	for expert := range order {
		order[expert] = expert
	}
	replicaLoad := func(expert int) float64 { return loads[expert] / float64(counts[expert]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(replicaLoad(b), replicaLoad(a)) })
	m := make(Map, len(loads))
	times := make([]float64, g.Ranks)
	freeSlots := slices.Repeat([]int{g.SlotsPerRank}, g.Ranks)
	// A slot stays reserved for each expert that has no replica yet, so additional
	// replicas cannot use it up.
	unplaced, totalFreeSlots := len(loads), g.Ranks*g.SlotsPerRank
	for _, expert := range order {
		unplaced--
		for range counts[expert] {
			rank := earliestRank(times, speeds, freeSlots, m[expert], replicaLoad(expert))
			if rank < 0 || (len(m[expert]) > 0 && totalFreeSlots <= unplaced) {
				break
			}
			m[expert] = append(m[expert], rank)
			times[rank] += replicaLoad(expert) / speeds[rank]
			freeSlots[rank]--
			totalFreeSlots--
		}
		slices.Sort(m[expert])
	}
	return m, nil
}

// replicaCounts returns the number of replicas of each expert when all slots are used.
func replicaCounts(g Group, loads []float64) []int {
	counts := slices.Repeat([]int{1}, len(loads))
	for range g.Ranks*g.SlotsPerRank - len(loads) {
		best := -1
		for expert, load := range loads {
			if counts[expert] == g.Ranks {
				continue
			}
			if best < 0 || load/float64(counts[expert]) > loads[best]/float64(counts[best]) {
				best = expert
			}
		}
		if best < 0 {
			break
		}
		counts[best]++
	}
	return counts
}

// earliestRank returns the rank outside of holders that has a free slot and would
// finish first with replicaLoad added; -1 when there is none.
func earliestRank(times, speeds []float64, freeSlots, holders []int, replicaLoad float64) int {
	best, bestEnd := -1, math.Inf(1)
	for rank, t := range times {
		if freeSlots[rank] == 0 || slices.Contains(holders, rank) {
			continue
		}
		if end := t + replicaLoad/speeds[rank]; end < bestEnd {
			best, bestEnd = rank, end
		}
	}
	return best
}
