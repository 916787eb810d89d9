package mapcontrol

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
	"github.com/coltsfootbay/coltsfootbay/internal/placement"
)

// shape describes a group with synthetic load.
type shape struct {
	ranks  int
	engine deployment.Engine
	// popularityExponent is the Zipf exponent of the popularity of experts.
	popularityExponent float64
	// noise is the relative spread of a window's counts.
	noise float64
}

// small and large correspond to the small and the large deployments.
var (
	small = shape{ranks: 16, popularityExponent: 1.1, noise: 0.15, engine: deployment.Engine{
		Slots: 12, Step: 4550 * time.Microsecond, StepPerRequest: 905 * time.Microsecond, StepsPerPass: 4,
		Layers: 4, Experts: 64, SlotsPerRank: 5, MaxNewPerRank: 2, ExpertBytes: 2.5e9, LinkBytesPerSecond: 22.5e9, ExpertShare: 0.85,
	}}
	large = shape{ranks: 72, popularityExponent: 0.53, noise: 0.08, engine: deployment.Engine{
		Slots: 10, Step: 4550 * time.Microsecond, StepPerRequest: 1090 * time.Microsecond, StepsPerPass: 5,
		Layers: 12, Experts: 144, SlotsPerRank: 3, MaxNewPerRank: 2, ExpertBytes: 0.37e9, LinkBytesPerSecond: 22.5e9, ExpertShare: 0.85,
	}}
)

// load generates expert counts: popularity is stable and then shifts abruptly for a
// share of the experts.
type load struct {
	shape
	random *rand.Rand
	// expertsByPopularity holds, by layer, the experts in descending order of
	// popularity.
	expertsByPopularity [][]int
}

func newLoad(s shape, seed uint64) *load {
	l := &load{shape: s, random: rand.New(rand.NewPCG(seed, 2))}
	for range s.engine.Layers {
		l.expertsByPopularity = append(l.expertsByPopularity, l.random.Perm(s.engine.Experts))
	}
	return l
}

// shift permutes a share of the experts in the popularity order of each layer.
func (l *load) shift(share float64) {
	for _, experts := range l.expertsByPopularity {
		moved := l.random.Perm(len(experts))[:int(share*float64(len(experts)))]
		first := experts[moved[0]]
		for i := range len(moved) - 1 {
			experts[moved[i]] = experts[moved[i+1]]
		}
		experts[moved[len(moved)-1]] = first
	}
}

// popularity returns the share of a layer's counts for each expert.
func (l *load) popularity(layer int) []float64 {
	out := make([]float64, l.engine.Experts)
	sum := 0.0
	for position, expert := range l.expertsByPopularity[layer] {
		out[expert] = math.Pow(float64(position+1), -l.popularityExponent)
		sum += out[expert]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// round adds one message of each rank to a demand.
func (l *load) round(d *demand) {
	const perRank = 8000 // sum of the counts of one rank in a layer and round
	for rank := range l.ranks {
		p := &peers.ExpertCounts{Rank: rank, Scale: 8, Last: true}
		for layer := range l.expertsByPopularity {
			for _, fraction := range l.popularity(layer) {
				n := fraction * perRank * math.Exp(l.noise*3*l.random.NormFloat64())
				p.Counts = append(p.Counts, byte(min(n/float64(p.Scale), 255)))
			}
		}
		d.add(p)
	}
}

// firstMaps assigns the experts round-robin, as a group does at the start of an epoch.
func (l *load) firstMaps() []placement.Map {
	maps := make([]placement.Map, l.engine.Layers)
	for layer := range maps {
		maps[layer] = make(placement.Map, l.engine.Experts)
		for expert := range maps[layer] {
			maps[layer][expert] = []int{expert % l.ranks}
		}
	}
	return maps
}

// imbalance returns the pass time for the true popularity, relative to a balanced
// group.
func (l *load) imbalance(maps []placement.Map) float64 {
	sum := 0.0
	for layer, m := range maps {
		sum += placement.Skew(placement.RankTimes(m, l.popularity(layer), equalSpeeds(l.ranks)))
	}
	return 1 - l.engine.ExpertShare + l.engine.ExpertShare*sum/float64(len(maps))
}

func equalSpeeds(ranks int) []float64 {
	out := make([]float64, ranks)
	for i := range out {
		out[i] = 1
	}
	return out
}
