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

// demand is how often the experts of each layer are chosen, with old choices
// forgotten.
type demand struct {
	layers [][]float64
	at     []time.Time
}

// add takes choices of a layer's experts.
func (d *demand) add(layer int, counts []uint32, now time.Time) {
	for len(d.layers) <= layer {
		d.layers = append(d.layers, nil)
		d.at = append(d.at, now)
	}
	if len(d.layers[layer]) != len(counts) {
		d.layers[layer] = make([]float64, len(counts))
	}
	left := math.Exp2(-now.Sub(d.at[layer]).Seconds() / demandHalfLife.Seconds())
	d.at[layer] = now
	for expert, n := range counts {
		d.layers[layer][expert] = d.layers[layer][expert]*left + float64(n)
	}
}

// total returns the sum of a layer.
func (d *demand) total(layer int) float64 {
	sum := 0.0
	for _, x := range d.layers[layer] {
		sum += x
	}
	return sum
}

// loads returns a layer's demand with a small part spread over all experts, so
// that an expert that nobody chose just now still counts.
func (d *demand) loads(layer int) []float64 {
	// floorShare is the part of a layer's demand that is spread evenly.
	const floorShare = 0.02
	total := d.total(layer)
	out := make([]float64, len(d.layers[layer]))
	for i, x := range d.layers[layer] {
		out[i] = x*(1-floorShare) + total*floorShare/float64(len(out))
	}
	return out
}
