package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Parameters of the simulation. 2 MiB/s is one layer's share of a store of 2 GiB/s
// with 17 groups of 58 layers; an expert is 44 MiB.
const (
	experts        = 256
	window         = Window
	day            = int(24 * time.Hour / window)
	zipfExponent   = 1.0
	swapsPerMinute = 32   // swaps of neighbours in the popularity order, per minute
	settleMinutes  = 30.0 // minutes
	minuteNoise    = 0.02 // standard deviation of an expert's load over a minute
	expertBytes    = 44 << 20
	layerRate      = 2 << 20
	spareSlots     = 4 // per rank; TestSpareSlots runs with other numbers
	targetSkew     = 1.10
)

// drift generates expert loads: Zipf popularity with a random walk of the popularity
// order. An expert's popularity follows its position in the order with a time constant
// of settleMinutes; 0 applies changes immediately.
type drift struct {
	random         *rand.Rand
	order          []int
	popularity     []float64 // logarithms
	swapsPerMinute int
	pendingSwaps   float64
	settleMinutes  float64
}

func newDrift(seed uint64, swapsPerMinute int, settleMinutes float64) *drift {
	r := rand.New(rand.NewPCG(seed, 0))
	d := &drift{random: r, order: r.Perm(experts), popularity: make([]float64, experts), swapsPerMinute: swapsPerMinute}
	d.next()
	d.settleMinutes = settleMinutes
	return d
}

func (d *drift) next() []float64 {
	minutes := window.Minutes()
	d.pendingSwaps += float64(d.swapsPerMinute) * minutes
	for ; d.pendingSwaps >= 1; d.pendingSwaps-- {
		i := d.random.IntN(experts - 1)
		d.order[i], d.order[i+1] = d.order[i+1], d.order[i]
	}
	loads := make([]float64, experts)
	for position, expert := range d.order {
		target := math.Log(1e5) - zipfExponent*math.Log(float64(position+1))
		d.popularity[expert] += (target - d.popularity[expert]) * -math.Expm1(-minutes/d.settleMinutes)
		loads[expert] = math.Exp(d.popularity[expert] + minuteNoise/math.Sqrt(minutes)*d.random.NormFloat64())
	}
	return loads
}

func group(ranks, spare int) Group {
	return Group{Ranks: ranks, SlotsPerRank: experts/ranks + spare, BytesPerExpert: expertBytes}
}

func normalSpeeds(ranks int) []float64 { return slices.Repeat([]float64{1}, ranks) }

// strategy returns the next map, given the loads of the last window.
type strategy func(g Group, current Map, loads []float64) Map

func keepCurrent(_ Group, current Map, _ []float64) Map { return current }

func repack(g Group, _ Map, loads []float64) Map {
	m, _ := Pack(g, loads, normalSpeeds(g.Ranks))
	return m
}

func smoothedDecisions(smoothing SmoothingPolicy, p Policy) strategy {
	s := NewSmoother(smoothing)
	return func(g Group, current Map, loads []float64) Map {
		state := State{Loads: s.Add(loads), Speeds: normalSpeeds(g.Ranks), Current: current, BytesPerSecond: layerRate}
		d, err := Decide(g, state, p)
		if err != nil {
			panic(err)
		}
		return d.Map
	}
}

// everyWindow reacts to the unsmoothed loads of each window, without loading cost or
// hysteresis.
func everyWindow() strategy {
	p := DefaultPolicy()
	p.TriggerSkew, p.StopSkew, p.MinGain, p.LoadingCost = 1, 1, 0, 0
	p.Horizon, p.MaxLoading = 1000*time.Hour, 1000*time.Hour
	return smoothedDecisions(SmoothingPolicy{}, p)
}

type outcome struct {
	mean, p95, straggling float64
	gigabytes             float64
	switches              int
}

func (o outcome) String() string {
	return fmt.Sprintf("skew mean %.3f p95 %.3f, straggler %5.1f%% of time, %8.1f GB moved, %4d switches",
		o.mean, o.p95, 100*o.straggling, o.gigabytes, o.switches)
}

// run simulates windows of drift. A new map is in use from the end of the window in
// which its weights are completely loaded at the layer's rate; until then no other
// map is chosen.
func run(g Group, d *drift, windows int, next strategy) outcome {
	current := repack(g, nil, d.next())
	var pending Map
	var o outcome
	var skews []float64
	remaining := 0.0
	for range windows {
		loads := d.next()
		skew := Skew(RankTimes(current, loads, normalSpeeds(g.Ranks)))
		skews = append(skews, skew)
		o.mean += skew / float64(windows)
		if skew > targetSkew {
			o.straggling += 1 / float64(windows)
		}
		if remaining -= layerRate * window.Seconds(); pending != nil && remaining <= 0 {
			current, pending = pending, nil
		}
		if pending != nil {
			continue
		}
		m := next(g, current, loads)
		if bytes := float64(m.AddedReplicas(current)) * expertBytes; bytes > 0 {
			pending, remaining = m, bytes
			o.gigabytes += bytes / 1e9
			o.switches++
			continue
		}
		current = m // replicas were only removed
	}
	slices.Sort(skews)
	o.p95 = skews[len(skews)*95/100]
	return o
}

// Guards against placement that lets drift make a straggler, or that moves more
// than the baselines. It prints the rows of docs/MEASURES.md.
func TestDrift(t *testing.T) {
	for _, ranks := range []int{4, 16, 64} {
		for _, seed := range []uint64{1, 2, 3} {
			t.Run(fmt.Sprintf("ranks=%d/seed=%d", ranks, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				g := group(ranks, spareSlots)
				got := run(g, newDrift(seed, swapsPerMinute, settleMinutes), day, smoothedDecisions(DefaultSmoothingPolicy(), DefaultPolicy()))
				every := run(g, newDrift(seed, swapsPerMinute, settleMinutes), day, everyWindow())
				t.Log("MEASURE decision    ", got)
				t.Log("MEASURE never       ", run(g, newDrift(seed, swapsPerMinute, settleMinutes), day, keepCurrent))
				t.Log("MEASURE every report", every)
				t.Log("MEASURE full repack ", run(g, newDrift(seed, swapsPerMinute, settleMinutes), day, repack))
				is.True(got.mean <= targetSkew)
				is.True(got.gigabytes < every.gigabytes)
				t.Run("p95", func(t *testing.T) {
					is.New(t).True(got.p95 <= targetSkew)
				})
			})
		}
	}
}

// Prints how the skew depends on the spare slots per rank, for gradual drift and for
// abrupt changes of popularity.
func TestSpareSlots(t *testing.T) {
	for _, settleMinutes := range []float64{settleMinutes, 0} {
		for _, ranks := range []int{4, 16, 64} {
			for _, spare := range []int{0, 1, 2, 4, 8} {
				t.Run(fmt.Sprintf("settle=%v/ranks=%d/spare=%d", settleMinutes, ranks, spare), func(t *testing.T) {
					t.Parallel()
					t.Log("MEASURE", run(group(ranks, spare), newDrift(1, swapsPerMinute, settleMinutes), day, smoothedDecisions(DefaultSmoothingPolicy(), DefaultPolicy())))
				})
			}
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, ranks := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("ranks=%d", ranks), func(b *testing.B) {
			g, d := group(ranks, spareSlots), newDrift(1, swapsPerMinute, settleMinutes)
			state := State{Speeds: normalSpeeds(ranks), Current: repack(g, nil, d.next()), BytesPerSecond: layerRate}
			for range 30 {
				state.Loads = d.next()
			}
			for b.Loop() {
				if _, err := Decide(g, state, DefaultPolicy()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
