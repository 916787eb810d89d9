package rankagent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

const (
	// NextPass and LaterPass are how many passes after the running one a switch takes
	// place. A hold arrives within a millisecond and a pass takes 40 ms or more, so
	// that the next pass is rarely missed. While orders get lost a later one leaves
	// time to send them again before the group stops.
	NextPass  = 1
	LaterPass = 3
	// orderPause is the pause before an order is sent again.
	orderPause = 15 * time.Millisecond
	// holdTries bounds the passes for which a switch is tried.
	holdTries = 4
	// SwitchLease is how long the lead of a switch may send orders. An undisturbed
	// switch takes less than 100 ms; after this time another controller may end the
	// switch in the lead's place. Until then the group may be held.
	SwitchLease = 500 * time.Millisecond
	// reportLag is the age of what an engine tells other machines: 200 ms by the
	// deployments' figures, with room for one more update.
	reportLag = 400 * time.Millisecond
	// answerWithin is the time in which every rank has to answer before a switch.
	answerWithin = 120 * time.Millisecond
	// resolveTimeout bounds the end of an open switch. A rank that does not answer
	// by then has been lost, and its group begins a new epoch.
	resolveTimeout = 2 * time.Second
	// prepareTimeout bounds the copying of experts.
	prepareTimeout = 4 * time.Second
	// preparedPoll is how often a rank is asked whether its copies are complete, by
	// the agent on the rank's own machine. A copy takes 16 ms or more.
	preparedPoll = 10 * time.Millisecond
)

// errEpoch tells that the group began a new epoch, which ends every change.
var errEpoch = errors.New("the group began a new epoch")

// Switch changes the map of a group to a version that all its ranks have
// prepared. The rank c.HeldRank holds the group before a pass until every rank is
// armed for that pass, so that all ranks change with the same pass. engines has
// the ranks in order, and agents what answers for the machine of each.
func Switch(ctx context.Context, engines []Engine, agents []Reporter, c SwitchRequest) (step int64, err error) {
	ctx, cancel := withLease(ctx, SwitchLease)
	defer cancel()
	if err := allPrepared(ctx, agents, c.Epoch, c.Version); err != nil {
		return 0, err
	}
	step, err = hold(ctx, engines[c.HeldRank], agents[c.HeldRank], c)
	if err != nil {
		return 0, err
	}
	return step, finish(ctx, engines, c.HeldRank, c.Epoch, c.Version, step)
}

// SwitchRequest is a switch of a group to a version of its map.
type SwitchRequest struct {
	Epoch, Version int64
	// HeldRank is the rank that is held.
	HeldRank int
	// PassesAhead is how many passes after the running one the switch takes place.
	PassesAhead int64
}

// allPrepared returns an error unless every rank answers now and is ready for the
// switch. A group that is held while a rank does not answer stays held until it
// does, so that is found out before.
func allPrepared(ctx context.Context, agents []Reporter, epoch, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	states, err := reports(ctx, agents)
	if err != nil {
		return err
	}
	for rank, s := range states {
		if s.Epoch != epoch {
			return errEpoch
		}
		if s.Prepared != version {
			return fmt.Errorf("rank %d has version %d prepared", rank, s.Prepared)
		}
	}
	return nil
}

// Resolve ends a switch that was left open by its lead, which may have held the
// group and armed any of the ranks. engines has the ranks of the group, and agents
// what answers for the machine of each, in the same order. It reports what it
// found.
func Resolve(ctx context.Context, engines []Engine, agents []Reporter) (found string, err error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	states, err := latest(ctx, engines, agents)
	if err != nil {
		return "", err
	}
	lead := -1
	var version int64
	for rank, s := range states {
		if s.Epoch != states[0].Epoch {
			return "", errEpoch
		}
		if s.HoldPass != 0 {
			lead = rank
		}
		version = max(version, s.Armed)
	}
	if lead < 0 {
		return "no rank is held", nil
	}
	epoch, step := states[0].Epoch, states[lead].HoldPass
	if version == 0 {
		return "held and not armed", release(ctx, engines[lead], epoch, step)
	}
	return "held and armed", finish(ctx, engines, lead, epoch, version, step)
}

// latest returns the states of all ranks after the lead's last order. Agents read
// them at once; without one of them, the engines are asked, and what an engine tells
// other machines must first be later than that order.
func latest(ctx context.Context, engines []Engine, agents []Reporter) ([]peers.Report, error) {
	if len(agents) == len(engines) {
		quick, cancel := context.WithTimeout(ctx, answerWithin)
		states, err := reports(quick, agents)
		cancel()
		if err == nil {
			return states, nil
		}
	}
	if !pause(ctx, reportLag) {
		return nil, ctx.Err()
	}
	return reports(ctx, engines)
}

// finish arms all ranks for a pass that lead holds, and lets it begin. If a rank
// can't be armed, it disarms all others first.
func finish(ctx context.Context, engines []Engine, lead int, epoch, version, step int64) error {
	armed := func(s peers.Report) bool { return s.Armed == version || s.Map == version }
	failed := all(engines, func(e Engine) error {
		return settle(ctx, e, Order{Operation: Arm, Epoch: epoch, Version: version, Step: step}, armed)
	})
	if failed != nil && ctx.Err() == nil && !errors.Is(failed, errEpoch) {
		if err := all(engines, func(e Engine) error {
			return settle(ctx, e, Order{Operation: Disarm, Epoch: epoch, Version: version}, never)
		}); err != nil {
			return errors.Join(failed, err)
		}
	}
	if ctx.Err() != nil || errors.Is(failed, errEpoch) {
		// The group stays held: with ranks in an unknown state it must not go on.
		return errors.Join(failed, ctx.Err())
	}
	return errors.Join(failed, release(ctx, engines[lead], epoch, step))
}

// release lets the group begin a pass, and returns when the engine has answered.
// A report that shows no hold proves nothing: it may be older than the hold.
func release(ctx context.Context, e Engine, epoch, step int64) error {
	err := settle(ctx, e, Order{Operation: Release, Epoch: epoch, Step: step}, never)
	if errors.Is(err, errConflict) {
		// The rank is not held before that pass any more.
		return nil
	}
	return err
}

// never is for orders that undo something: what a report no longer shows, it may
// not show yet.
func never(peers.Report) bool { return false }

// hold stops the group before a pass that has not begun, and returns the pass.
// The last pass that has begun is read at the engine's own machine: what an
// engine tells other machines is some hundred milliseconds old.
func hold(ctx context.Context, e Engine, agent Reporter, c SwitchRequest) (int64, error) {
	var last error
	for range holdTries {
		state, err := agent.Report(ctx)
		if err != nil {
			return 0, err
		}
		if state.Epoch != c.Epoch {
			return 0, errEpoch
		}
		if state.HoldPass != 0 {
			return 0, fmt.Errorf("the rank is held before pass %d already", state.HoldPass)
		}
		step := state.Step + c.PassesAhead
		held := func(s peers.Report) bool { return s.HoldPass == step }
		last = settle(ctx, e, Order{Operation: Hold, Epoch: c.Epoch, Step: step}, held)
		if last == nil {
			return step, nil
		}
		if errors.Is(last, errEpoch) || ctx.Err() != nil {
			break
		}
	}
	return 0, last
}

// errConflict tells that an order does not fit the engine's state.
var errConflict = errors.New("the engine refused the order")

// settle sends an order until the engine has answered, or its report shows that
// it holds. A lost answer is no failure: the order may have been carried out, or
// may be later.
func settle(ctx context.Context, e Engine, o Order, holds func(peers.Report) bool) error {
	for {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%s: %w", o.Operation, err)
		}
		outcome, cause := e.Order(ctx, o)
		if outcome == Begun || outcome == Done {
			return nil
		}
		state, err := e.Report(ctx)
		switch {
		case err == nil && state.Epoch != o.Epoch:
			return errEpoch
		case err == nil && holds(state):
			return nil
		case outcome == Conflict:
			return fmt.Errorf("%w: %s: %w", errConflict, o.Operation, cause)
		}
		if !pause(ctx, orderPause) {
			return fmt.Errorf("%s: %w", o.Operation, errors.Join(cause, err, ctx.Err()))
		}
	}
}

// PrepareMap makes one rank copy the experts of a version, and returns when they
// are there. A rank refuses while it is armed for an earlier version; the order
// is then sent again.
func PrepareMap(ctx context.Context, e Engine, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	unanswered, conflicts := false, 0
	for {
		outcome, cause := e.Order(ctx, o)
		if outcome == Begun || outcome == Done {
			break
		}
		state, err := e.Report(ctx)
		switch {
		case err == nil && state.Epoch != o.Epoch:
			return errEpoch
		case err == nil && (state.Prepared == o.Version || state.Map == o.Version):
			return nil
		case outcome == Conflict && err == nil && state.Armed == 0 && unanswered:
			// An earlier order without an answer has used the version: its copies may
			// be on their way.
			return waitPrepared(ctx, e, o, lateCopies)
		case outcome == Conflict && err == nil && state.Armed == 0:
			// The rank may have been armed when it refused.
			if conflicts++; conflicts == maxConflicts {
				return fmt.Errorf("%w: %w", errConflict, cause)
			}
		}
		unanswered = unanswered || outcome == Unanswered
		if !pause(ctx, orderPause) {
			return errors.Join(ctx.Err(), cause, err)
		}
	}
	return waitPrepared(ctx, e, o, prepareTimeout)
}

// maxConflicts is the number of refusals without a visible reason after which a
// rank counts as unable to prepare a version.
const maxConflicts = 3

// lateCopies is how long copies may take that an unanswered order has begun.
const lateCopies = 1500 * time.Millisecond

func waitPrepared(ctx context.Context, e Engine, o Order, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		state, err := e.Report(ctx)
		switch {
		case err == nil && state.Epoch != o.Epoch:
			return errEpoch
		case err == nil && (state.Prepared == o.Version || state.Map == o.Version):
			return nil
		}
		if !pause(ctx, preparedPoll) {
			return errors.Join(ctx.Err(), err)
		}
	}
}

func reports[R Reporter](ctx context.Context, engines []R) ([]peers.Report, error) {
	out := make([]peers.Report, len(engines))
	errs := make([]error, len(engines))
	var calls sync.WaitGroup
	for rank, e := range engines {
		calls.Go(func() { out[rank], errs[rank] = e.Report(ctx) })
	}
	calls.Wait()
	return out, errors.Join(errs...)
}

// all calls f for every engine at the same time.
func all(engines []Engine, f func(Engine) error) error {
	errs := make([]error, len(engines))
	var calls sync.WaitGroup
	for rank, e := range engines {
		calls.Go(func() {
			if err := f(e); err != nil {
				errs[rank] = fmt.Errorf("rank %d: %w", rank, err)
			}
		})
	}
	calls.Wait()
	return errors.Join(errs...)
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
