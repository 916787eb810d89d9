// Package ledger records which tickets an agent has seen. It ensures that a
// request with a ticket runs at most once, and that every repeat gets the same
// answer.
package ledger

import (
	"errors"
	"sync"

	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// State is the progress of a run.
type State int

// States of a run. Unseen is the state of a ticket without a record. Spent is
// the state of a run that was refused and will never begin.
const (
	Unseen State = iota
	Queued
	Begun
	Done
	Spent
)

// ErrNotQueued is returned by Begin if the run has begun or was refused.
var ErrNotQueued = errors.New("run is not queued")

// Answer is the result of a run. Err is nil if the run succeeded.
type Answer struct {
	Response *wire.Response
	Body     []byte
	Done     wire.Done
	Err      *verdict.Error
}

// Run is the state of one request at the agent. It is safe for concurrent use.
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

// Begin marks the run as begun. It returns ErrNotQueued if the run has begun or
// was refused. Call it right before the request is written to the backend
// server.
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

// Refuse ends a queued run with the error e; the run then never begins. It
// returns false if the run has begun or ended.
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

// Finish ends a run that has begun. It returns false if the run has not begun
// or has already ended.
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

// State returns the current state.
func (r *Run) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Begun returns a channel that is closed when the call to the backend server
// begins.
func (r *Run) Begun() <-chan struct{} { return r.begun }

// Finished returns a channel that is closed when the answer is final.
func (r *Run) Finished() <-chan struct{} { return r.finished }

// Answer returns the answer of a finished run, and the zero Answer before.
func (r *Run) Answer() Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer
}

// withoutBody returns a copy of a finished run that keeps the verdict and
// status but not the body.
func (r *Run) withoutBody() *Run {
	a := r.Answer()
	head := wire.Response{BodyOmitted: true}
	if a.Response != nil {
		head.Status = a.Response.Status
	}
	a.Response, a.Body = &head, nil
	return &Run{state: Done, answer: a, begun: r.begun, finished: r.finished}
}
