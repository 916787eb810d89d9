package rankagent

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/inbound"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

// Handler returns the HTTP handler for the calls of the controller and of other agents.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathReport, func(w http.ResponseWriter, r *http.Request) {
		report, err := a.Engine.Report(r.Context())
		a.answer(w, &report, err)
	})
	mux.HandleFunc("POST "+pathMaps, func(w http.ResponseWriter, r *http.Request) {
		maps, err := a.Engine.Maps(r.Context())
		a.answer(w, &maps, err)
	})
	mux.HandleFunc("POST "+pathPrepare, a.servePrepare)
	mux.HandleFunc("POST "+pathClaim, a.serveClaim)
	return mux
}

// answer sends a value as the response, or status 502 if err is set.
func (a *Agent) answer(w http.ResponseWriter, value any, err error) {
	var body []byte
	if err == nil {
		body, err = cbor.Marshal(value)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	// An error means that the caller disconnected; it treats its call as unanswered.
	_, _ = w.Write(body)
}

// decodeCall decodes the body of a call. If that fails, it sends status 400 and returns
// false.
func decodeCall[T any](w http.ResponseWriter, r *http.Request) (*T, bool) {
	body, release, err := inbound.ReadBody(w, r, maxCallBytes, time.Now().Add(callReadTimeout))
	defer release()
	var value T
	if err == nil {
		err = cbor.Unmarshal(body, &value)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return &value, true
}

// result returns the response for an outcome and its error.
func result(outcome Outcome, err error) *Result {
	r := &Result{Outcome: outcome}
	if err != nil {
		r.Error = err.Error()
	}
	return r
}

// serveClaim grants or refuses the claim of a controller.
func (a *Agent) serveClaim(w http.ResponseWriter, r *http.Request) {
	c, ok := decodeCall[Claim](w, r)
	if !ok {
		return
	}
	granted, holder := a.claims.take(c.Holder)
	if !granted {
		a.Recorder.Record("claim_refused", "", events.F("claimed_by", c.Holder), events.F("holder", holder))
		a.answer(w, &ClaimResult{Holder: holder}, nil)
		return
	}
	report, err := a.Engine.Report(r.Context())
	if err == nil {
		a.claims.addClearPass(&report)
	}
	a.answer(w, &ClaimResult{Granted: true, Holder: holder, Report: report}, err)
}

// servePrepare prepares the map of an order and responds when it is ready.
func (a *Agent) servePrepare(w http.ResponseWriter, r *http.Request) {
	c, ok := decodeCall[PrepareCall](w, r)
	if !ok {
		return
	}
	err := PrepareMap(r.Context(), claimedEngine{Engine: a.Engine, claims: a.claims, holder: c.Holder}, c.Order)
	if err != nil {
		a.Recorder.Record("prepare_failed", "", events.F("version", c.Version), events.F("epoch", c.Epoch), events.F("error", err.Error()))
	}
	outcome := Done
	switch {
	case errors.Is(err, errConflict):
		outcome = Conflict
	case err != nil:
		outcome = Unanswered
	}
	a.answer(w, result(outcome, err), nil)
}

// countsPerMessage is the number of expert counts that fit into a datagram.
const countsPerMessage = 1200

// splitCounts moves the counts from unsent into messages with one byte per count.
// Remainders of less than one unit stay in unsent for later messages.
func splitCounts(head peers.ExpertCounts, unsent []uint64) []*peers.ExpertCounts {
	const maxCount = 255
	scale := max((slices.Max(append([]uint64{1}, unsent...))+maxCount-1)/maxCount, 1)
	var out []*peers.ExpertCounts
	for at := 0; at < len(unsent); at += countsPerMessage {
		m := head
		m.Offset, m.Scale = at, uint32(scale)
		part := unsent[at:min(at+countsPerMessage, len(unsent))]
		m.Counts = make([]byte, len(part))
		for i, n := range part {
			m.Counts[i] = byte(n / scale)
			part[i] = n % scale
		}
		m.Last = at+countsPerMessage >= len(unsent)
		out = append(out, &m)
	}
	return out
}
