package mapcontrol

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
	"github.com/coltsfootbay/coltsfootbay/internal/placement"
)

// shape is a group whose load is replayed.
type shape struct {
	ranks  int
	engine deployment.Engine
	// skew is the exponent of the popularity of experts by rank of popularity.
	skew float64
	// noise is the relative spread of a window's counts.
	noise float64
}

// small and large have the shapes of the deployments of today and of the grown
// ones.
var (
	small = shape{ranks: 16, skew: 1.1, noise: 0.15, engine: deployment.Engine{
		Slots: 12, Step: 4550 * time.Microsecond, StepPerRequest: 905 * time.Microsecond, StepsPerPass: 4,
		Layers: 4, Experts: 64, SlotsPerRank: 5, MaxNewPerRank: 2, ExpertBytes: 2.5e9, LinkBytesPerSecond: 22.5e9, ExpertShare: 0.85,
	}}
	large = shape{ranks: 72, skew: 0.53, noise: 0.08, engine: deployment.Engine{
		Slots: 10, Step: 4550 * time.Microsecond, StepPerRequest: 1090 * time.Microsecond, StepsPerPass: 5,
		Layers: 12, Experts: 144, SlotsPerRank: 3, MaxNewPerRank: 2, ExpertBytes: 0.37e9, LinkBytesPerSecond: 22.5e9, ExpertShare: 0.85,
	}}
)

// load replays the choices of experts: popularity stays as it is and then changes
// at once for a part of the experts.
type load struct {
	shape
	random *rand.Rand
	// liked holds, by layer, the experts in the order of their popularity.
	liked [][]int
}

func newLoad(s shape, seed uint64) *load {
	l := &load{shape: s, random: rand.New(rand.NewPCG(seed, 2))}
	for range s.engine.Layers {
		l.liked = append(l.liked, l.random.Perm(s.engine.Experts))
	}
	return l
}

// shift changes a share of what is liked.
func (l *load) shift(share float64) {
	for _, liked := range l.liked {
		moved := l.random.Perm(len(liked))[:int(share*float64(len(liked)))]
		first := liked[moved[0]]
		for i := range len(moved) - 1 {
			liked[moved[i]] = liked[moved[i+1]]
		}
		liked[moved[len(moved)-1]] = first
	}
}

// popularity returns the part of a layer's choices by expert.
func (l *load) popularity(layer int) []float64 {
	out := make([]float64, l.engine.Experts)
	sum := 0.0
	for place, expert := range l.liked[layer] {
		out[expert] = math.Pow(float64(place+1), -l.skew)
		sum += out[expert]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// round adds one message of each rank to a demand.
func (l *load) round(d *demand) {
	const perRank = 8000 // choices of one rank in a layer and round
	for rank := range l.ranks {
		p := &peers.ExpertCounts{Rank: rank, Scale: 8, Last: true}
		for layer := range l.liked {
			for _, part := range l.popularity(layer) {
				n := part * perRank * math.Exp(l.noise*3*l.random.NormFloat64())
				p.Counts = append(p.Counts, byte(min(n/float64(p.Scale), 255)))
			}
		}
		d.add(p)
	}
}

// firstMaps assigns the experts in turn, as a new epoch of a group does.
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

// uneven returns the true time of a pass relative to an even group.
func (l *load) uneven(maps []placement.Map) float64 {
	sum := 0.0
	for layer, m := range maps {
		sum += placement.Skew(placement.RankTimes(m, l.popularity(layer), even(l.ranks)))
	}
	return 1 - l.engine.ExpertShare + l.engine.ExpertShare*sum/float64(len(maps))
}

func even(ranks int) []float64 {
	out := make([]float64, ranks)
	for i := range out {
		out[i] = 1
	}
	return out
}
