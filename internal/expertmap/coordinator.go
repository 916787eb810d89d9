// Package expertmap changes the expert map of a model group so that all ranks use the
// same map in each step. The agent of rank 0 coordinates the change. The engines keep
// the state, so a coordinator does not have to store any.
package expertmap

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// compareInterval is the interval between comparisons of the document and the
	// group.
	compareInterval = 250 * time.Millisecond
	// holdMarginSteps is how many steps ahead of the fastest rank the group is held. At
	// 10 ms per step it covers the 0.3 s that a repeated hold call takes.
	holdMarginSteps = 32
	// callTimeout is the timeout of all calls except prepare. If a rank does not answer
	// in time, the round fails, and the next claim determines how to proceed.
	callTimeout = 2 * time.Second
	// prepareTimeout is the timeout of a prepare call, which loads weights.
	prepareTimeout = 5 * time.Minute
)

// Config holds the dependencies of a Coordinator.
type Config struct {
	// Owner identifies this start of the coordinating agent.
	Owner string
	// Group returns the group to coordinate with the map it should use, or false if
	// there is none.
	Group func() (dynamic.Group, bool)
	// Call sends a message to a rank's engine and returns the answer. After an error it
	// is unknown whether the call took effect, and it may still do so later.
	Call func(ctx context.Context, agent fleet.ProcessID, m *wire.MapCall) (*wire.MapAnswer, error)
	// Recorder records the events.
	Recorder *events.Recorder
	// Sequential makes the coordinator call one rank at a time, for deterministic
	// tests.
	Sequential bool
}

// Coordinator changes the map of one group.
type Coordinator struct {
	Config
	// epoch is the highest epoch seen.
	epoch uint64
	// confirmed is the number of the map that all ranks confirmed, and resolved is true
	// if the last round left no pending change.
	confirmed uint64
	resolved  bool
}

// NewCoordinator returns a coordinator; Run starts it.
func NewCoordinator(c Config) *Coordinator { return &Coordinator{Config: c} }

// Run compares the group with its document until ctx is done.
func (c *Coordinator) Run(ctx context.Context) {
	ticker := time.NewTicker(compareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if g, ok := c.Group(); ok && (!c.resolved || g.Number > c.confirmed) {
			if err := c.Round(ctx, g); err != nil && ctx.Err() == nil {
				c.Recorder.Record("map.round_failed", "", events.F("group", g.Name), events.F("error", err.Error()))
			}
		}
	}
}

// Round resolves a pending change and then switches the group to the map of its
// document. After an error the next round starts with a new claim, which invalidates
// all messages of this round that are still in transit.
func (c *Coordinator) Round(ctx context.Context, g dynamic.Group) error {
	c.resolved = false
	current, err := c.resolvePending(ctx, g)
	if err != nil {
		return err
	}
	if g.Number > current {
		if err := c.change(ctx, g); err != nil {
			return err
		}
		current = g.Number
	}
	c.confirmed, c.resolved = current, true
	return nil
}

// resolvePending claims epochs and resolves pending changes until a claim finds none.
// It returns the number of the map in use. A change must not start in an epoch that
// contains an abort: if the abort arrived twice, it would release a rank that the
// change holds.
func (c *Coordinator) resolvePending(ctx context.Context, g dynamic.Group) (uint64, error) {
	for {
		states, err := c.claimEpoch(ctx, g)
		if err != nil {
			return 0, err
		}
		current, open, err := c.resolve(ctx, g, states)
		if err != nil || !open {
			return current, err
		}
	}
}

// claimEpoch claims an epoch above all that the ranks have seen, and returns their
// states.
func (c *Coordinator) claimEpoch(ctx context.Context, g dynamic.Group) ([]*wire.MapAnswer, error) {
	c.epoch++
	states, err := c.callAll(ctx, g, wire.MapCall{Action: wire.MapState})
	for _, s := range states {
		if s != nil {
			c.epoch = max(c.epoch, s.Epoch)
		}
	}
	return states, err
}

// resolve ends a change that a previous round left pending. It returns the number of
// the map in use and whether there was a pending change. If any rank has committed, the
// decision was to commit. If none has, no rank has passed the step, and no commit can
// arrive any more, because all ranks have refused the previous epoch since they
// answered the claim; resolve then aborts the change.
func (c *Coordinator) resolve(ctx context.Context, g dynamic.Group, states []*wire.MapAnswer) (current uint64, open bool, err error) {
	for _, s := range states {
		current = max(current, s.Current)
	}
	for rank, s := range states {
		switch {
		case s.Current == current && (s.Held || s.Prepared != 0):
			open, err = true, c.sendDecision(ctx, g, rank, s.Prepared, false)
		case s.Current < current && s.Held && s.Prepared == current:
			open, err = true, c.sendDecision(ctx, g, rank, current, true)
		case s.Current < current:
			err = fmt.Errorf("rank %d has map %d and others %d: restart the engines of the group together", rank, s.Current, current)
		}
		if err != nil {
			return 0, open, err
		}
	}
	return current, open, nil
}

// sendDecision tells a rank to commit or abort a pending change.
func (c *Coordinator) sendDecision(ctx context.Context, g dynamic.Group, rank int, number uint64, commit bool) error {
	c.Recorder.Record("map.resolved", "", events.F("group", g.Name), events.F("rank", rank), events.F("number", number), events.F("commit", commit))
	_, err := c.callRank(ctx, g, rank, wire.MapCall{Action: wire.MapSwitch, Number: number, Commit: commit})
	return err
}

// change prepares, holds and commits a map. After an error before the commit is sent,
// the next claim aborts the change. After a later error, the next claim finds the
// commit unless no rank received it.
func (c *Coordinator) change(ctx context.Context, g dynamic.Group) error {
	prepared, err := c.callAll(ctx, g, wire.MapCall{Action: wire.MapPrepare, Number: g.Number, Placement: g.Placement})
	if err != nil {
		return err
	}
	var step uint64
	for _, s := range prepared {
		step = max(step, s.Step)
	}
	held, err := c.callAll(ctx, g, wire.MapCall{Action: wire.MapHold, Number: g.Number, Step: step + holdMarginSteps})
	if err != nil {
		return err
	}
	for rank, s := range held {
		if !s.Held || s.Prepared != g.Number {
			return fmt.Errorf("rank %d is not held", rank)
		}
	}
	c.Recorder.Record("map.held", "", events.F("group", g.Name), events.F("number", g.Number), events.F("step", step+holdMarginSteps))
	if _, err := c.callAll(ctx, g, wire.MapCall{Action: wire.MapSwitch, Number: g.Number, Commit: true}); err != nil {
		return err
	}
	c.Recorder.Record("map.committed", "", events.F("group", g.Name), events.F("number", g.Number))
	return nil
}

// callAll sends a call to every rank. It returns all answers that arrived, and an error
// unless all ranks accepted the call.
func (c *Coordinator) callAll(ctx context.Context, g dynamic.Group, m wire.MapCall) ([]*wire.MapAnswer, error) {
	answers := make([]*wire.MapAnswer, len(g.Ranks))
	errs := make([]error, len(g.Ranks))
	var calls sync.WaitGroup
	for rank := range g.Ranks {
		call := func() { answers[rank], errs[rank] = c.callRank(ctx, g, rank, m) }
		if c.Sequential {
			call()
		} else {
			calls.Go(call)
		}
	}
	calls.Wait()
	return answers, errors.Join(errs...)
}

// callRank sends a call to a rank and returns its answer, and an error unless the rank
// accepted the call.
func (c *Coordinator) callRank(ctx context.Context, g dynamic.Group, rank int, m wire.MapCall) (*wire.MapAnswer, error) {
	timeout := callTimeout
	if m.Action == wire.MapPrepare {
		timeout = prepareTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m.Epoch, m.Owner = c.epoch, c.Owner
	answer, err := c.Call(ctx, g.Ranks[rank], &m)
	switch {
	case err != nil:
		return nil, fmt.Errorf("rank %d, %s: %w", rank, m.Action, err)
	case !answer.OK:
		return answer, fmt.Errorf("rank %d, %s: refused with %q at epoch %d", rank, m.Action, answer.Reason, answer.Epoch)
	}
	return answer, nil
}
