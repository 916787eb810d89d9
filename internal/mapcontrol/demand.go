// Package mapcontrol keeps the ranks of a model group even and its queue short:
// it decides which rank holds which experts and how many requests a rank runs
// at a time. One gateway controls all groups; it learns the state of the ranks
// from their agents. Decisions are in demand.go, plan.go and limit.go, without
// input or output; controller.go carries them out.
package mapcontrol

import (
	"math"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

const (
	// demandHalfLife is the time in which a choice loses half of its weight while
	// demand stays as it is.
	demandHalfLife = 4 * time.Second
	// windowPicks is the least number of choices in a window that is compared
	// with the demand before it. The choices of a few requests say little.
	windowPicks = 20000
	// windowRanks is the part of the ranks whose choices a window has.
	windowRanks = 0.9
	// shiftNoise is how many times the usual distance between a window and the
	// demand a window must be off to count as a shift of demand.
	shiftNoise = 2.2
	// minShift and maxShift bound the distance that counts as a shift.
	minShift = 0.09
	maxShift = 0.30
	// firstNoise is the usual distance that is assumed at the start.
	firstNoise = 0.07
	// noiseMemory is the weight of a new distance.
	noiseMemory = 0.1
	// firstInterval, minInterval and maxInterval bound the estimate of the time
	// between two shifts.
	firstInterval = 3500 * time.Millisecond
	minInterval   = 1500 * time.Millisecond
	maxInterval   = 12 * time.Second
	// sameShift is the time after a shift in which another one counts as a part of
	// it. Maps follow a shift within 0.6 s.
	sameShift = 1200 * time.Millisecond
	// maxCounts bounds the experts of all layers, so that a wrong message can't
	// take the memory.
	maxCounts = 1 << 17
)

// demand is how often the experts of each layer are chosen. Load pattern: what
// is liked stays the same for seconds and then changes at once for a large part
// of the experts. So the choices since the last change are added up, and those
// before it are dropped.
type demand struct {
	// window has the choices since the last close, base those since the last
	// shift, layer after layer.
	window, base []float64
	// heard has the ranks whose choices are in the window.
	heard map[int]bool
	// noise is the usual distance between a window and base.
	noise float64
	// settling tells that a shift was seen in the last window, which may have
	// choices from before it.
	settling bool
	// shifted is when the last shift was seen, interval the usual time between two.
	shifted  time.Time
	interval time.Duration
	closed   time.Time
}

// add takes choices of some experts, from the place offset on.
func (d *demand) add(p *peers.ExpertCounts) {
	offset, counts := p.Offset, p.Counts
	if offset < 0 || offset+len(counts) > maxCounts {
		return
	}
	if d.heard == nil {
		d.heard = map[int]bool{}
	}
	if p.Last {
		d.heard[p.Rank] = true
	}
	for len(d.window) < offset+len(counts) {
		d.window = append(d.window, 0)
	}
	for i, n := range counts {
		d.window[offset+i] += float64(n) * float64(p.Scale)
	}
}

// close ends a window that has the choices of nearly all ranks, and reports
// whether demand has shifted in it. The choices of some ranks only, those of a
// few requests, differ from the demand at all times.
func (d *demand) close(ranks int, now time.Time) (shift bool) {
	if float64(len(d.heard)) < windowRanks*float64(ranks) || total(d.window) < windowPicks {
		return false
	}
	clear(d.heard)
	if d.interval == 0 {
		d.interval, d.noise = firstInterval, firstNoise
	}
	window := d.window
	d.window = make([]float64, len(window))
	elapsed := now.Sub(d.closed)
	d.closed = now
	if len(d.base) != len(window) || d.settling {
		d.base, d.settling = window, false
		return false
	}
	off := distance(window, d.base)
	if off > min(max(shiftNoise*d.noise, minShift), maxShift) {
		d.base, d.settling = window, true
		return d.noteShift(now)
	}
	d.noise += noiseMemory * (off - d.noise)
	left := math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
	for i, n := range window {
		d.base[i] = d.base[i]*left + n
	}
	return false
}

// noteShift notes that demand has shifted and returns true, or false for what is
// left of the last shift: the passes that follow one are long, so that a window
// may have choices from before and after it.
func (d *demand) noteShift(now time.Time) bool {
	const intervalMemory = 0.3
	if !d.shifted.IsZero() && now.Sub(d.shifted) < sameShift {
		return false
	}
	if !d.shifted.IsZero() {
		since := min(max(now.Sub(d.shifted), minInterval), maxInterval)
		d.interval += time.Duration(intervalMemory * float64(since-d.interval))
	}
	d.shifted = now
	return true
}

// lasts estimates how long the demand stays as it is.
func (d *demand) lasts(now time.Time) time.Duration {
	// minLasts is assumed when the next shift is overdue.
	const minLasts = 800 * time.Millisecond
	if d.shifted.IsZero() {
		return d.interval
	}
	return max(d.interval-now.Sub(d.shifted), minLasts)
}

// distance returns the part of the choices that differ between two windows, 0
// to 1.
func distance(a, b []float64) float64 {
	sumA, sumB := total(a), total(b)
	if sumA == 0 || sumB == 0 {
		return 0
	}
	off := 0.0
	for i := range a {
		off += math.Abs(a[i]/sumA - b[i]/sumB)
	}
	return off / 2
}

// layer returns the demand for the experts of a layer that has so many.
func (d *demand) layer(l, experts int) []float64 { return d.base[l*experts : (l+1)*experts] }

// known reports whether there are choices for so many experts in so many layers.
func (d *demand) known(layers, experts int) bool {
	return len(d.base) == layers*experts && !d.settling && total(d.layer(0, experts)) > 0
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
