package rankagent

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

// Guards against choices of experts that are lost when counts are rounded to the units
// of the messages.
func TestSplitCountsKeepsRemainders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		counts := rapid.SliceOfN(rapid.Uint64Range(0, 1<<20), 1, 3000).Draw(t, "counts")
		unsent := append([]uint64{}, counts...)
		seen := 0
		for _, m := range splitCounts(peers.ExpertCounts{Group: "g"}, unsent) {
			for i, n := range m.Counts {
				k := m.Offset + i
				is.Equal(uint64(n)*uint64(m.Scale)+unsent[k], counts[k])
				seen++
			}
			is.Equal(m.Last, m.Offset+len(m.Counts) == len(counts))
		}
		is.Equal(seen, len(counts))
	})
}

// Guards against comparing counts with those of a previous start of the engine: they
// begin at zero again.
func TestCountsRestartWithEngine(t *testing.T) {
	is := is.New(t)
	a := New(Config{})
	is.Equal(len(a.countsSince(ExpertCounts{Counts: []uint64{100, 5}}, 1)), 0)
	is.Equal(a.countsSince(ExpertCounts{Counts: []uint64{130, 5}}, 1), []uint64{30, 0})
	is.Equal(len(a.countsSince(ExpertCounts{Counts: []uint64{2, 2}}, 2)), 0)
	is.Equal(a.countsSince(ExpertCounts{Counts: []uint64{3, 2}}, 2), []uint64{1, 0})
}
