package placement

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against maps that lose an expert, overfill a rank or make the group
// slower, against a result that depends on the run, and against a present map
// that is changed in place.
func TestDecideProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		n := rapid.IntRange(1, 24).Draw(t, "experts")
		ranks := rapid.IntRange(1, 6).Draw(t, "ranks")
		g := Group{Ranks: ranks, SlotsPerRank: (n+ranks-1)/ranks + rapid.IntRange(0, 3).Draw(t, "spare"), BytesPerExpert: 1}
		draw := func(name string) []float64 {
			return rapid.SliceOfN(rapid.Float64Range(0, 100), n, n).Draw(t, name)
		}
		speeds := rapid.SliceOfN(rapid.Float64Range(0.3, 1), ranks, ranks).Draw(t, "speeds")
		present, err := Pack(g, draw("before"), speeds)
		is.NoErr(err)
		is.NoErr(g.ValidateMap(present))
		s := State{Loads: draw("now"), Speeds: speeds, Present: present, BytesPerSecond: 1}
		kept := present.Clone()
		d, err := Decide(g, s, DefaultPolicy())
		is.NoErr(err)
		is.NoErr(g.ValidateMap(d.Map))
		is.Equal(present, kept)
		again, _ := Decide(g, s, DefaultPolicy())
		is.Equal(d, again)
		slowest := func(m Map) float64 { return slices.Max(RankTimes(m, s.Loads, speeds)) }
		is.True(!d.Change || slowest(d.Map) < slowest(present))
		is.Equal(d.Bytes, int64(d.Map.Loaded(present)))
	})
}

// Guards against moves whose loading costs more than they gain, and against
// moves for the noise of an even map.
func TestDecideStays(t *testing.T) {
	is := is.New(t)
	d := newDrift(1, swaps, settle)
	g := group(16, spareSlots)
	s := State{Loads: d.next(), Speeds: normal(16), BytesPerSecond: layerRate}
	s.Present, _ = Pack(g, s.Loads, s.Speeds)
	d.swaps, d.settle = 0, 1e9 // only noise is left
	for range 200 {
		s.Loads = d.next()
		got, err := Decide(g, s, DefaultPolicy())
		is.NoErr(err)
		is.True(!got.Change)
	}
	s.Loads[s.Present[0][0]] *= 1000
	got, _ := Decide(g, s, DefaultPolicy())
	is.True(got.Change)
	s.BytesPerSecond = expertBytes / (2 * DefaultPolicy().Horizon.Seconds())
	got, _ = Decide(g, s, DefaultPolicy())
	is.True(!got.Change || got.Bytes == 0)
}
