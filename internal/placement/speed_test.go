package placement

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Guards against a hot rank that is called slow, a slow rank that is missed or
// keeps its tokens, and wrong answers when both occur, with noise and outliers.
func TestSlowRank(t *testing.T) {
	const hotRank, slowRank = 1, 2
	for _, c := range []struct {
		name string
		hot  float64 // load of hotRank over the others
		slow float64 // speed of slowRank
	}{{"even", 1, 1}, {"hot", 3, 1}, {"slow", 1, 0.7}, {"both", 3, 0.7}, {"slow and idle", 0.3, 0.7}} {
		for _, ranks := range []int{4, 16, 64} {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(7, uint64(ranks)))
				m := NewSpeedEstimator(ranks, DefaultSpeedPolicy())
				for range 50 {
					tokens, times := make([]float64, ranks), make([]float64, ranks)
					for rank := range ranks {
						tokens[rank] = 1000 * (1 + 0.1*random.NormFloat64())
						if rank == hotRank {
							tokens[rank] *= c.hot
						}
						times[rank] = tokens[rank] * (1 + 0.03*random.NormFloat64())
						if rank == slowRank {
							times[rank] /= c.slow
						}
						if random.IntN(10) == 0 {
							times[rank] *= 5 // a stall in one window
						}
					}
					is.NoErr(m.Add(tokens, times))
				}
				if c.slow == 1 {
					is.Equal(len(m.Slow()), 0)
					is.Equal(m.Speeds(), normal(ranks))
					return
				}
				is.Equal(m.Slow(), []int{slowRank})
				checkFewerTokens(t, ranks, slowRank, m.Speeds())
			})
		}
	}
}

// checkFewerTokens lets Decide act on the speeds until it stays.
func checkFewerTokens(t *testing.T, ranks, slow int, speeds []float64) {
	is := is.New(t)
	g := group(ranks, spareSlots)
	s := State{Loads: newDrift(3, swaps, settle).next(), Speeds: speeds, BytesPerSecond: layerRate}
	s.Present, _ = Pack(g, s.Loads, normal(ranks))
	for range 100 {
		d, err := Decide(g, s, DefaultPolicy())
		is.NoErr(err)
		s.Present = d.Map
	}
	tokens := RankTimes(s.Present, s.Loads, normal(ranks))
	sum := 0.0
	for _, n := range tokens {
		sum += n
	}
	is.True(tokens[slow]/sum*float64(ranks) < 0.85) // its speed is 0.7
	is.True(Skew(RankTimes(s.Present, s.Loads, speeds)) <= targetSkew)
}
