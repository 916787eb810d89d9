// Package mapcontrol balances the ranks of a model group and limits the requests they
// run: it decides which rank holds which experts and how many requests a rank runs
// concurrently. One gateway controls all groups; it learns the state of the ranks from
// their agents. The decisions are in demand.go, plan.go and limit.go, which perform no
// I/O; controller.go carries them out.
package mapcontrol

import (
	"math"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

const (
	// demandHalfLife is the half-life of expert counts while demand does not shift.
	demandHalfLife = 4 * time.Second
	// minWindowCounts is the minimum sum of expert counts of a window that is compared
	// with the previous demand. The counts of only a few requests are not
	// representative.
	minWindowCounts = 20000
	// minWindowRankShare is the fraction of the ranks that must have contributed to a
	// window.
	minWindowRankShare = 0.9
	// shiftNoiseFactor is the ratio to the typical distance between a window and the
	// demand from which a distance counts as a demand shift.
	shiftNoiseFactor = 2.2
	// minShift and maxShift bound the threshold distance for a demand shift.
	minShift = 0.09
	maxShift = 0.30
	// initialNoise is the typical distance that is assumed at the start.
	initialNoise = 0.07
	// noiseWeight is the weight of a new distance in the moving average.
	noiseWeight = 0.1
	// initialInterval is the first estimate of the time between two shifts; minInterval
	// and maxInterval bound the measured times.
	initialInterval = 3500 * time.Millisecond
	minInterval     = 1500 * time.Millisecond
	maxInterval     = 12 * time.Second
	// sameShiftTime is the time after a shift in which another one counts as part of
	// it. New maps take effect within 0.6 s of a shift.
	sameShiftTime = 1200 * time.Millisecond
	// maxExpertCounts limits the counts over all layers, so a malformed message cannot
	// exhaust the memory.
	maxExpertCounts = 1 << 17
)

// demand holds how often the experts of each layer are selected. Load pattern: demand
// is stable for seconds and then shifts abruptly for a large share of the experts. The
// counts since the last shift are therefore summed up, and older ones are discarded.
type demand struct {
	// window holds the counts since the last closeWindow, base those since the last
	// shift, layer by layer.
	window, base []float64
	// reportedRanks holds the ranks whose counts are in the window.
	reportedRanks map[int]bool
	// noise is the typical distance between a window and base.
	noise float64
	// settling is true if a shift was detected in the last window, which may contain
	// counts from before the shift.
	settling bool
	// shiftedAt is when the last shift was detected, and shiftInterval the mean time
	// between two shifts.
	shiftedAt     time.Time
	shiftInterval time.Duration
	closedAt      time.Time
}

// add adds the counts of a message, which start at its offset. Messages that are out of
// range are ignored.
func (d *demand) add(p *peers.ExpertCounts) {
	offset, counts := p.Offset, p.Counts
	if offset < 0 || offset > maxExpertCounts-len(counts) {
		return
	}
	if d.reportedRanks == nil {
		d.reportedRanks = map[int]bool{}
	}
	if p.Last {
		d.reportedRanks[p.Rank] = true
	}
	for len(d.window) < offset+len(counts) {
		d.window = append(d.window, 0)
	}
	for i, n := range counts {
		d.window[offset+i] += float64(n) * float64(p.Scale)
	}
}

// closeWindow ends a window that contains the counts of nearly all ranks, and reports
// whether demand has shifted in it. The counts of only some ranks come from few
// requests and always differ from the demand.
func (d *demand) closeWindow(ranks int, now time.Time) (shift bool) {
	if float64(len(d.reportedRanks)) < minWindowRankShare*float64(ranks) || total(d.window) < minWindowCounts {
		return false
	}
	clear(d.reportedRanks)
	if d.shiftInterval == 0 {
		d.shiftInterval, d.noise = initialInterval, initialNoise
	}
	window := d.window
	d.window = make([]float64, len(window))
	elapsed := now.Sub(d.closedAt)
	d.closedAt = now
	if len(d.base) != len(window) || d.settling {
		d.base, d.settling = window, false
		return false
	}
	difference := distance(window, d.base)
	if difference > min(max(shiftNoiseFactor*d.noise, minShift), maxShift) {
		d.base, d.settling = window, true
		return d.recordShift(now)
	}
	d.noise += noiseWeight * (difference - d.noise)
	decay := math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
	for i, n := range window {
		d.base[i] = d.base[i]*decay + n
	}
	return false
}

// recordShift records a demand shift and returns true. It returns false for the rest of
// the previous shift: passes after a shift are long, so a window may contain counts
// from before and after it.
func (d *demand) recordShift(now time.Time) bool {
	const intervalWeight = 0.3
	if !d.shiftedAt.IsZero() && now.Sub(d.shiftedAt) < sameShiftTime {
		return false
	}
	if !d.shiftedAt.IsZero() {
		since := min(max(now.Sub(d.shiftedAt), minInterval), maxInterval)
		d.shiftInterval += time.Duration(intervalWeight * float64(since-d.shiftInterval))
	}
	d.shiftedAt = now
	return true
}

// expectedDuration estimates how long the demand remains stable.
func (d *demand) expectedDuration(now time.Time) time.Duration {
	// minDuration is assumed when the next shift is overdue.
	const minDuration = 800 * time.Millisecond
	if d.shiftedAt.IsZero() {
		return d.shiftInterval
	}
	return max(d.shiftInterval-now.Sub(d.shiftedAt), minDuration)
}

// distance returns the total variation distance between the distributions of two
// windows, from 0 to 1.
func distance(a, b []float64) float64 {
	sumA, sumB := total(a), total(b)
	if sumA == 0 || sumB == 0 {
		return 0
	}
	difference := 0.0
	for i := range a {
		difference += math.Abs(a[i]/sumA - b[i]/sumB)
	}
	return difference / 2
}

// layer returns the counts of the experts of layer l, given the number of experts per
// layer.
func (d *demand) layer(l, experts int) []float64 { return d.base[l*experts : (l+1)*experts] }

// hasCounts reports whether base covers the given numbers of layers and experts and is
// not empty or mixed with counts from before a shift.
func (d *demand) hasCounts(layers, experts int) bool {
	return len(d.base) == layers*experts && !d.settling && total(d.layer(0, experts)) > 0
}

func total(counts []float64) float64 {
	sum := 0.0
	for _, x := range counts {
		sum += x
	}
	return sum
}

// loads returns the demand of layer l with a small share spread evenly over all
// experts, so that an expert without recent requests has a load as well.
func (d *demand) loads(l, experts int) []float64 {
	// floorShare is the share of a layer's demand that is spread evenly.
	const floorShare = 0.02
	counts := d.layer(l, experts)
	even := total(counts) * floorShare / float64(experts)
	out := make([]float64, experts)
	for i, x := range counts {
		out[i] = x*(1-floorShare) + even
	}
	return out
}
