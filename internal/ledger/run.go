// Package ledger keeps an agent's record of tickets, so that a request bound to
// a ticket runs at most once and every repeat gets the same answer.
package ledger

import (
	"errors"
	"sync"

	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// State is the progress of a run.
type State int

// States of a run. A ticket without a record is unseen.
const (
	Unseen State = iota
	Queued
	Begun
	Done
	Spent
)

// ErrNotQueued is returned by Begin for a run that was refused or has begun.
var ErrNotQueued = errors.New("run is not queued")

// Answer is what a finished run answers. Err is nil for a successful run.
type Answer struct {
	Response *wire.Response
	Body     []byte
	Done     wire.Done
	Err      *verdict.Error
}

// Run is one run of a request. It is safe for concurrent use.
type Run struct {
	mu       sync.Mutex
	state    State
	answer   Answer
	begun    chan struct{}
	finished chan struct{}
}

// NewRun returns a queued run.
func NewRun() *Run {
	return &Run{state: Queued, begun: make(chan struct{}), finished: make(chan struct{})}
}

// Begin marks the run as begun, or returns ErrNotQueued. Call it right before
// the request is written to the backend server.
func (r *Run) Begin() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Queued {
		return ErrNotQueued
	}
	r.state = Begun
	close(r.begun)
	return nil
}

// Refuse ends a queued run, which then never begins. It returns false if the
// run has begun or ended.
func (r *Run) Refuse(e *verdict.Error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Queued {
		return false
	}
	r.state = Spent
	r.answer = Answer{Err: e}
	close(r.finished)
	return true
}

// Finish ends a begun run. It returns false if the run has not begun or has
// ended.
func (r *Run) Finish(a Answer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Begun {
		return false
	}
	r.state = Done
	r.answer = a
	close(r.finished)
	return true
}

// State returns the present state.
func (r *Run) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Begun is closed when the call to the backend server begins.
func (r *Run) Begun() <-chan struct{} { return r.begun }

// Finished is closed when Answer is final.
func (r *Run) Finished() <-chan struct{} { return r.finished }

// Answer returns the answer of a finished run.
func (r *Run) Answer() Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer
}

// withoutBody returns a finished run with the same verdict and no body.
func (r *Run) withoutBody() *Run {
	a := r.Answer()
	head := wire.Response{BodyOmitted: true}
	if a.Response != nil {
		head.Status = a.Response.Status
	}
	a.Response, a.Body = &head, nil
	return &Run{state: Done, answer: a, begun: r.begun, finished: r.finished}
}
