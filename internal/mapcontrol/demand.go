// Package mapcontrol keeps the ranks of a model group even and its queue short:
// it decides which rank holds which experts and how many requests a rank runs
// at a time. One gateway controls all groups; it learns the state of the ranks
// from their agents. Decisions are in demand.go, plan.go and limit.go, without
// input or output; controller.go carries them out.
package mapcontrol

import (
	"math"
	"time"
)

// demandHalfLife is the time in which a count of choices loses half of its
// weight. Demand moves every few seconds; a longer memory keeps the experts of
// yesterday's mix in the map, a shorter one follows single requests.
const demandHalfLife = 350 * time.Millisecond

// maxCounts bounds the experts of all layers, so that a wrong message can't take
// the memory.
const maxCounts = 1 << 17

// demand is how often the experts of each layer are chosen, with old choices
// forgotten.
type demand struct {
	// counts has one value for each expert, layer after layer.
	counts []float64
	at     []time.Time
}

// add takes choices of some experts, from the place offset on.
func (d *demand) add(offset int, counts []uint32, now time.Time) {
	if offset < 0 || offset+len(counts) > maxCounts {
		return
	}
	for len(d.counts) < offset+len(counts) {
		d.counts = append(d.counts, 0)
		d.at = append(d.at, now)
	}
	for i, n := range counts {
		k := offset + i
		left := 1.0
		if d.at[k] != now {
			left = math.Exp2(-now.Sub(d.at[k]).Seconds() / demandHalfLife.Seconds())
		}
		d.counts[k], d.at[k] = d.counts[k]*left+float64(n), now
	}
}

// layer returns the demand for the experts of a layer that has so many.
func (d *demand) layer(l, experts int) []float64 { return d.counts[l*experts : (l+1)*experts] }

// known reports whether there are choices for so many experts in so many layers.
func (d *demand) known(layers, experts int) bool {
	return len(d.counts) == layers*experts && total(d.layer(0, experts)) > 0
}

func total(counts []float64) float64 {
	sum := 0.0
	for _, x := range counts {
		sum += x
	}
	return sum
}

// loads returns a layer's demand with a small part spread over all experts, so
// that an expert that nobody chose just now still counts.
func (d *demand) loads(l, experts int) []float64 {
	// floorShare is the part of a layer's demand that is spread evenly.
	const floorShare = 0.02
	counts := d.layer(l, experts)
	even := total(counts) * floorShare / float64(experts)
	out := make([]float64, experts)
	for i, x := range counts {
		out[i] = x*(1-floorShare) + even
	}
	return out
}
