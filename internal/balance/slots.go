package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// loadImbalance is the number of requests by which the load of one server may exceed
	// the limit, which applies to the average. The requests of one rank are a small part
	// of a forward pass.
	loadImbalance = 1
	// reportAge is the mean age of a server's report when the next one arrives: agents
	// and the controller each forward reports 10 times per second. A report does not
	// include the requests sent within this time.
	reportAge = 150 * time.Millisecond
	// reportLifetime is the time for which a report is valid. After it, only this
	// process's own requests are known.
	reportLifetime = 1500 * time.Millisecond
)

// withinFreeShare reports whether this process may take one more of the slots that were
// free according to the last reports. Load pattern: more requests than slots, queued at
// many gateways that know the same loads. If each gateway filled all free slots, the
// servers would get many times the requests that they can run.
func (p *Pool) withinFreeShare(limit float64, now time.Time) bool {
	for len(p.recentSends) > 0 && now.Sub(p.recentSends[0]) > reportAge {
		p.recentSends = p.recentSends[1:]
	}
	if now.Sub(p.roundingDrawnAt) > reportAge {
		p.rounding, p.roundingDrawnAt = rand.Float64(), now
	}
	free, totalLimit, ownRequests, reported := 0.0, 0.0, 0, false
	for _, b := range p.backends {
		if !b.usable(now) {
			continue
		}
		totalLimit += limit
		ownRequests += b.inFlight
		if b.hasReport(now) {
			free += limit - float64(b.reported)
			reported = true
		} else {
			// The load is an estimate: it must not use up the slots of other servers.
			free += max(limit-float64(b.load(now, p.senderCount())), 0)
		}
	}
	if !reported {
		// The other gateways are assumed to have as many requests as this one, which
		// gets at least one slot.
		return float64(ownRequests+1) <= max(totalLimit/float64(p.senderCount())+p.rounding, 1)
	}
	return float64(len(p.recentSends)+1) <= free/float64(p.senderCount())+p.rounding
}
