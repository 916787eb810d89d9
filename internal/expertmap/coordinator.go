// Package expertmap changes the expert map of a model group so that all ranks
// use the same map in each step. The agent of rank 0 coordinates; the engines
// keep the state, so a coordinator that restarts needs no memory.
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
	// compareInterval is how often the document and the group are compared.
	compareInterval = 250 * time.Millisecond
	// holdMargin is how many steps ahead of the fastest rank the group is held.
	// At steps of 10 ms it covers the 0.3 s of a hold call that is sent again.
	holdMargin = 32
	// callTimeout bounds a call other than prepare. A rank that does not answer
	// in time makes the round fail; only a new claim decides what follows.
	callTimeout    = 2 * time.Second
	prepareTimeout = 5 * time.Minute
)

// Config holds what a Coordinator works on.
type Config struct {
	// Owner identifies this start of the coordinating agent.
	Owner string
	// Group returns the group to coordinate and the map it should use.
	Group func() (dynamic.Group, bool)
	// Call asks a rank's engine and returns its answer. After an error the
	// effect of the call is unknown, and it may come later.
	Call func(ctx context.Context, agent fleet.ProcessID, m *wire.MapCall) (*wire.MapAnswer, error)
	// Recorder gets the events.
	Recorder *events.Recorder
	// Sequential asks the ranks one after the other, for repeatable tests.
	Sequential bool
}

// Coordinator changes the map of one group.
type Coordinator struct {
	Config
	// epoch is the highest epoch seen.
	epoch uint64
	// settled is the number of the map that all ranks confirmed; claimed tells
	// that this start has found no unfinished change.
	settled uint64
	claimed bool
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
		if g, ok := c.Group(); ok && (!c.claimed || g.Number > c.settled) {
			if err := c.Round(ctx, g); err != nil && ctx.Err() == nil {
				c.Recorder.Record("map.round_failed", "", events.F("group", g.Name), events.F("error", err.Error()))
			}
		}
	}
}

// Round finishes a change that was left open and then brings the group to the
// map of its document. After an error the next round starts with a new claim,
// which makes every message of this one that is still on its way void.
func (c *Coordinator) Round(ctx context.Context, g dynamic.Group) error {
	c.claimed = false
	current, err := c.finish(ctx, g)
	if err != nil {
		return err
	}
	if g.Number > current {
		if err := c.change(ctx, g); err != nil {
			return err
		}
		current = g.Number
	}
	c.settled, c.claimed = current, true
	return nil
}

// finish claims and ends an open change until a claim finds none. An abort that
// arrives twice would release a rank that a later change in the same epoch
// holds, so a change needs an epoch without one.
func (c *Coordinator) finish(ctx context.Context, g dynamic.Group) (uint64, error) {
	for {
		states, err := c.claim(ctx, g)
		if err != nil {
			return 0, err
		}
		current, open, err := c.resolve(ctx, g, states)
		if err != nil || !open {
			return current, err
		}
	}
}

// claim takes an epoch above all that the ranks have seen and returns their
// states.
func (c *Coordinator) claim(ctx context.Context, g dynamic.Group) ([]*wire.MapAnswer, error) {
	c.epoch++
	states, err := c.all(ctx, g, wire.MapCall{Action: wire.MapState})
	for _, s := range states {
		if s != nil {
			c.epoch = max(c.epoch, s.Epoch)
		}
	}
	return states, err
}

// resolve ends a change that a former round left open. It returns the number of
// the map in use and whether there was something to end. If any rank has committed, the decision was commit. If none
// has, nobody has passed the step, and no commit can come any more because all
// ranks have refused the former epoch since their answers: it aborts.
func (c *Coordinator) resolve(ctx context.Context, g dynamic.Group, states []*wire.MapAnswer) (current uint64, open bool, err error) {
	for _, s := range states {
		current = max(current, s.Current)
	}
	for rank, s := range states {
		switch {
		case s.Current == current && (s.Held || s.Prepared != 0):
			open, err = true, c.decide(ctx, g, rank, s.Prepared, false)
		case s.Current < current && s.Held && s.Prepared == current:
			open, err = true, c.decide(ctx, g, rank, current, true)
		case s.Current < current:
			err = fmt.Errorf("rank %d has map %d and others %d: restart the engines of the group together", rank, s.Current, current)
		}
		if err != nil {
			return 0, open, err
		}
	}
	return current, open, nil
}

func (c *Coordinator) decide(ctx context.Context, g dynamic.Group, rank int, number uint64, commit bool) error {
	c.Recorder.Record("map.resolved", "", events.F("group", g.Name), events.F("rank", rank), events.F("number", number), events.F("commit", commit))
	_, err := c.one(ctx, g, rank, wire.MapCall{Action: wire.MapSwitch, Number: number, Commit: commit})
	return err
}

// change prepares, holds and commits. An error before the commit is sent leaves
// the decision to the next claim, which aborts; an error after it is found as a
// commit by the next claim unless no rank got it.
func (c *Coordinator) change(ctx context.Context, g dynamic.Group) error {
	prepared, err := c.all(ctx, g, wire.MapCall{Action: wire.MapPrepare, Number: g.Number, Placement: g.Placement})
	if err != nil {
		return err
	}
	var step uint64
	for _, s := range prepared {
		step = max(step, s.Step)
	}
	held, err := c.all(ctx, g, wire.MapCall{Action: wire.MapHold, Number: g.Number, Step: step + holdMargin})
	if err != nil {
		return err
	}
	for rank, s := range held {
		if !s.Held || s.Prepared != g.Number {
			return fmt.Errorf("rank %d is not held", rank)
		}
	}
	c.Recorder.Record("map.held", "", events.F("group", g.Name), events.F("number", g.Number), events.F("step", step+holdMargin))
	if _, err := c.all(ctx, g, wire.MapCall{Action: wire.MapSwitch, Number: g.Number, Commit: true}); err != nil {
		return err
	}
	c.Recorder.Record("map.committed", "", events.F("group", g.Name), events.F("number", g.Number))
	return nil
}

// all sends a call to every rank. It returns every answer that came, and an
// error unless all ranks agreed.
func (c *Coordinator) all(ctx context.Context, g dynamic.Group, m wire.MapCall) ([]*wire.MapAnswer, error) {
	answers := make([]*wire.MapAnswer, len(g.Ranks))
	errs := make([]error, len(g.Ranks))
	var calls sync.WaitGroup
	for rank := range g.Ranks {
		call := func() { answers[rank], errs[rank] = c.one(ctx, g, rank, m) }
		if c.Sequential {
			call()
		} else {
			calls.Go(call)
		}
	}
	calls.Wait()
	return answers, errors.Join(errs...)
}

// one sends a call to a rank and returns its answer, and an error unless the
// rank agreed.
func (c *Coordinator) one(ctx context.Context, g dynamic.Group, rank int, m wire.MapCall) (*wire.MapAnswer, error) {
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
