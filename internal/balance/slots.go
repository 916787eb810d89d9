package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// unevenLoad is by how much the load of one server may be above the limit, which
	// is for the average. The requests of one rank are a small part of a pass.
	unevenLoad = 1
	// reportAge is how old a server's report is on average when the next one
	// arrives: agents and the controller pass it on 10 times a second each. Requests
	// that were sent within it are not in the report.
	reportAge = 150 * time.Millisecond
	// reportLifetime is how long a report counts. Without a newer one, the own
	// requests of this process are all that is known.
	reportLifetime = 1500 * time.Millisecond
)

// mayTake reports whether this process may take one more of the places that were
// free as of the last reports. Load pattern: more requests than places, waiting at
// many gateways that know the same loads. If each filled every place that it sees,
// the servers would get many times what they run.
func (p *Pool) mayTake(limit float64, now time.Time) bool {
	for len(p.sent) > 0 && now.Sub(p.sent[0]) > reportAge {
		p.sent = p.sent[1:]
	}
	if now.Sub(p.drawn) > reportAge {
		p.rounding, p.drawn = rand.Float64(), now
	}
	free, places, own, reported := 0.0, 0.0, 0, false
	for _, b := range p.backends {
		if !b.usable(now) {
			continue
		}
		places += limit
		own += b.running
		if b.hasReport(now) {
			free += limit - float64(b.reported)
			reported = true
		} else {
			// The load is a guess: it must not fill the places of other servers.
			free += max(limit-float64(b.load(now, p.senders())), 0)
		}
	}
	if !reported {
		// The others are taken to have as much as this one, which gets one place at
		// least.
		return float64(own+1) <= max(places/float64(p.senders())+p.rounding, 1)
	}
	return float64(len(p.sent)+1) <= free/float64(p.senders())+p.rounding
}
