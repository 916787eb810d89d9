package placement

import (
	"cmp"
	"math"
	"slices"
)

func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// RankTimes returns the expected time of each rank, in tokens at speed 1.
func RankTimes(m Map, loads, speeds []float64) []float64 {
	times := make([]float64, len(speeds))
	for expert, ranks := range m {
		part := loads[expert] / float64(len(ranks))
		for _, rank := range ranks {
			times[rank] += part / speeds[rank]
		}
	}
	return times
}

// Skew returns the slowest time over the mean time, and 1 without any load.
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

// Pack returns a map made without regard to any present one: spare slots go to
// the experts with the highest load per replica, and replicas are placed by
// longest processing time first. It serves groups that have no map yet.
func Pack(g Group, loads, speeds []float64) (Map, error) {
	if err := g.validateLoads(loads, speeds); err != nil {
		return nil, err
	}
	counts := replicaCounts(g, loads)
	order := make([]int, len(loads))
	for expert := range order {
		order[expert] = expert
	}
	part := func(expert int) float64 { return loads[expert] / float64(counts[expert]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(part(b), part(a)) })
	m := make(Map, len(loads))
	times := make([]float64, g.Ranks)
	free := slices.Repeat([]int{g.SlotsPerRank}, g.Ranks)
	// First replicas of all experts have slots reserved, so that a replica never
	// takes the last slot of an expert that is still to come.
	unplaced, open := len(loads), g.Ranks*g.SlotsPerRank
	for _, expert := range order {
		unplaced--
		for range counts[expert] {
			rank := shortest(times, speeds, free, m[expert], part(expert))
			if rank < 0 || (len(m[expert]) > 0 && open <= unplaced) {
				break
			}
			m[expert] = append(m[expert], rank)
			times[rank] += part(expert) / speeds[rank]
			free[rank]--
			open--
		}
		slices.Sort(m[expert])
	}
	return m, nil
}

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

// shortest returns the rank with a free slot, not among held, that ends first
// after it got part; -1 when there is none.
func shortest(times, speeds []float64, free, held []int, part float64) int {
	best, bestEnd := -1, math.Inf(1)
	for rank, t := range times {
		if free[rank] == 0 || slices.Contains(held, rank) {
			continue
		}
		if end := t + part/speeds[rank]; end < bestEnd {
			best, bestEnd = rank, end
		}
	}
	return best
}
