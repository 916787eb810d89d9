package placement

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against maps that lose an expert, overfill a rank or make the group slower,
// against non-deterministic results, and against changes to the current map in
// place.
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
		current, err := Pack(g, draw("before"), speeds)
		is.NoErr(err)
		is.NoErr(g.ValidateMap(current))
		s := State{Loads: draw("now"), Speeds: speeds, Current: current, BytesPerSecond: 1}
		kept := current.Clone()
		d, err := Decide(g, s, DefaultPolicy())
		is.NoErr(err)
		is.NoErr(g.ValidateMap(d.Map))
		is.Equal(current, kept)
		again, _ := Decide(g, s, DefaultPolicy())
		is.Equal(d, again)
		slowest := func(m Map) float64 { return slices.Max(RankTimes(m, s.Loads, speeds)) }
		is.True(!d.Change || slowest(d.Map) < slowest(current))
		is.Equal(d.Bytes, int64(d.Map.AddedReplicas(current)))
	})
}

// Guards against changes whose loading costs more than they gain, and against changes
// that only follow the noise of a balanced map.
func TestDecideKeepsBalancedMap(t *testing.T) {
	is := is.New(t)
	d := newDrift(1, swapsPerMinute, settleMinutes)
	g := group(16, spareSlots)
	s := State{Loads: d.next(), Speeds: normalSpeeds(16), BytesPerSecond: layerRate}
	s.Current, _ = Pack(g, s.Loads, s.Speeds)
	d.swapsPerMinute, d.settleMinutes = 0, 1e9 // only noise is left
	for range 200 {
		s.Loads = d.next()
		got, err := Decide(g, s, DefaultPolicy())
		is.NoErr(err)
		is.True(!got.Change)
	}
	s.Loads[s.Current[0][0]] *= 1000
	got, _ := Decide(g, s, DefaultPolicy())
	is.True(got.Change)
	s.BytesPerSecond = expertBytes / (2 * DefaultPolicy().Horizon.Seconds())
	got, _ = Decide(g, s, DefaultPolicy())
	is.True(!got.Change || got.Bytes == 0)
}
