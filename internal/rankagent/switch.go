package rankagent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

const (
	// NextPass and LaterPass are how many forward passes after the running one a switch
	// takes place. A hold arrives within 1 ms and a pass takes 40 ms or more, which
	// means that the next pass is rarely missed. While orders are being lost, a later
	// pass leaves time to send them again before the group stops.
	NextPass  = 1
	LaterPass = 3
	// orderRetryPause is the pause before an order is sent again.
	orderRetryPause = 15 * time.Millisecond
	// holdAttempts limits the forward passes for which a hold is attempted.
	holdAttempts = 4
	// SwitchLease is how long the coordinator of a switch may send orders. An
	// undisturbed switch takes less than 100 ms. After the lease another controller may
	// end the switch in the coordinator's place; until then the group may be held.
	SwitchLease = 500 * time.Millisecond
	// maxReportAge is the age of an engine's reports to other machines: 200 ms as
	// configured in the deployments, with room for one more update.
	maxReportAge = 400 * time.Millisecond
	// reportTimeout is the time in which every rank must report before a switch.
	reportTimeout = 120 * time.Millisecond
	// resolveTimeout limits the time to end a pending switch. A rank that does not
	// respond by then has been lost, and its group begins a new epoch.
	resolveTimeout = 2 * time.Second
	// clearPassTimeout limits the wait for a pass that an earlier switch may have held.
	clearPassTimeout = 200 * time.Millisecond
	// prepareTimeout limits the time to copy experts.
	prepareTimeout = 4 * time.Second
	// preparedPoll is the time between two checks whether a rank has completed its
	// copies, made by the agent on the rank's own machine. A copy takes 16 ms or more.
	preparedPoll = 10 * time.Millisecond
)

// errEpoch is the error of a switch or preparation that ended because the group began a new epoch.
var errEpoch = errors.New("the group began a new epoch")

// Switch changes a group to a version of the expert map that all its ranks have
// prepared. It holds the group before a forward pass at the rank c.HeldRank until every
// rank is armed for that pass, which makes all ranks change with the same pass. engines
// holds the ranks in order, and agents the agent on the machine of each rank. It first
// claims the ranks: two controllers that act at the same time could each hold the group
// and release it while the other one arms the ranks. Switch returns the pass, also with
// an error if an order to hold the group may still be carried out; otherwise it is 0.
//
// Any order may be carried out seconds late, after newer ones. Four rules keep that from
// mixing maps:
//   - A pass is held by one switch only: a late release can't end another switch's hold.
//   - The group is released when all ranks are armed for the pass, or when no rank can be
//     armed any more for a version that was ordered, see discardPrepared.
//   - A rank is disarmed only when another one can't be armed for that version any more:
//     nobody completes that switch, and a late disarm has no effect.
//   - While the group is held and no rank is armed, only the coordinator arms ranks. Its
//     release may be on the way.
func Switch(ctx context.Context, engines []Engine, agents []ClaimingReporter, c SwitchRequest) (step int64, err error) {
	ctx, cancel := withLease(ctx, SwitchLease)
	defer cancel()
	states, err := claimPrepared(ctx, agents, c)
	if err != nil {
		return 0, err
	}
	if c.ClearPass, err = ClearPass(states, c.ClearPass); err != nil {
		return 0, err
	}
	step, err = hold(ctx, engines[c.HeldRank], agents[c.HeldRank], c)
	if err != nil {
		return step, err
	}
	return step, finish(ctx, engines, c.HeldRank, states, c.Version, step)
}

// SwitchRequest describes a switch of a group to a version of its expert map.
type SwitchRequest struct {
	// Holder identifies this start of the controller.
	Holder         string
	Epoch, Version int64
	// HeldRank is the rank whose hold stops the group.
	HeldRank int
	// PassesAhead is how many forward passes after the running one the switch takes
	// place, at most LaterPass.
	PassesAhead int64
	// ClearPass is the last forward pass that an earlier switch may have held; 0 if there
	// is none. The group is not held until that pass has begun.
	ClearPass int64
}

// claimPrepared claims all ranks and returns their states. It returns an error unless every
// rank responds now and has prepared the version. If the group were held while a rank does
// not respond, it would stay held until the rank does.
func claimPrepared(ctx context.Context, agents []ClaimingReporter, c SwitchRequest) ([]peers.Report, error) {
	states, err := ClaimAll(ctx, agents, c.Holder)
	if err != nil {
		return nil, err
	}
	for rank, s := range states {
		if s.Epoch != c.Epoch {
			return nil, errEpoch
		}
		if s.Prepared != c.Version {
			return nil, fmt.Errorf("rank %d has version %d prepared", rank, s.Prepared)
		}
	}
	return states, nil
}

// finish arms all ranks for a forward pass that is held at heldRank, and releases it. If a
// rank cannot be armed, finish discards the version on all ranks first.
func finish(ctx context.Context, engines []Engine, heldRank int, states []peers.Report, version, step int64) error {
	epoch := states[heldRank].Epoch
	armed := func(s peers.Report) bool { return s.Armed == version || s.Map == version }
	failed := all(engines, func(_ int, e Engine) error {
		return sendUntilAnswered(ctx, e, Order{Operation: Arm, Epoch: epoch, Version: version, Step: step}, armed)
	})
	if failed != nil && ctx.Err() == nil && !errors.Is(failed, errEpoch) {
		if err := discardPrepared(ctx, engines, states); err != nil {
			return errors.Join(failed, err)
		}
	}
	if ctx.Err() != nil || errors.Is(failed, errEpoch) {
		// The group stays held: it must not run with ranks in an unknown state.
		return errors.Join(failed, ctx.Err())
	}
	return errors.Join(failed, release(ctx, engines[heldRank], epoch, step))
}

// release lets the group start a forward pass, and returns when the engine has
// responded. A report without a hold proves nothing, because it may be older than the
// hold.
func release(ctx context.Context, e Engine, epoch, step int64) error {
	err := sendUntilAnswered(ctx, e, Order{Operation: Release, Epoch: epoch, Step: step}, neverConfirmed)
	if errors.Is(err, errConflict) {
		// The rank is no longer held before that pass.
		return nil
	}
	return err
}

// neverConfirmed is the condition for orders that undo something. A report that does
// not show the state may be older than the state.
func neverConfirmed(peers.Report) bool { return false }

// hold stops the group before a forward pass that has not started, and returns that
// pass. With an error it returns the pass that an order may still hold, or 0. The last
// started pass is read on the engine's own machine, because an engine's reports to other
// machines are some hundred milliseconds old.
func hold(ctx context.Context, e Engine, agent Reporter, c SwitchRequest) (ordered int64, last error) {
	for range holdAttempts {
		state, err := waitForPass(ctx, agent, c.ClearPass)
		if err != nil {
			return ordered, err
		}
		if state.Epoch != c.Epoch {
			return ordered, errEpoch
		}
		if state.HoldPass != 0 {
			return ordered, fmt.Errorf("the rank is already held before pass %d", state.HoldPass)
		}
		step := state.Step + c.PassesAhead
		held := func(s peers.Report) bool { return s.HoldPass == step }
		ordered = step
		last = sendUntilAnswered(ctx, e, Order{Operation: Hold, Epoch: c.Epoch, Step: step}, held)
		if last == nil {
			return step, nil
		}
		if errors.Is(last, errEpoch) || ctx.Err() != nil {
			break
		}
	}
	return ordered, last
}

// errPassPending is the error of a switch that would hold a pass which an earlier switch may
// have held.
var errPassPending = errors.New("a pass that an earlier switch may have held has not begun")

// ClearPass returns the last forward pass that an earlier switch may have held, by the states
// that ClaimAll returned and what the controller itself ordered. The error says that the
// group is idle before that pass, and therefore can't be switched.
func ClearPass(states []peers.Report, ordered int64) (pass int64, err error) {
	pass = ordered
	var step int64
	running := 0
	for _, s := range states {
		pass, step, running = max(pass, s.ClearPass), max(step, s.Step), running+s.Running
	}
	if running == 0 && step < pass {
		return pass, fmt.Errorf("%w: %d, the group is idle after %d", errPassPending, pass, step)
	}
	return pass, nil
}

// waitForPass returns the state of a rank once a forward pass has begun.
func waitForPass(ctx context.Context, agent Reporter, pass int64) (peers.Report, error) {
	for until := time.Now().Add(clearPassTimeout); ; {
		state, err := agent.Report(ctx)
		if err != nil || state.Step >= pass {
			return state, err
		}
		if time.Now().After(until) || !pause(ctx, orderRetryPause) {
			return state, fmt.Errorf("%w: %d, the last one is %d", errPassPending, pass, state.Step)
		}
	}
}

// errConflict is the error of an order that does not fit the engine's state.
var errConflict = errors.New("the engine refused the order")

// sendUntilAnswered sends an order until the engine has responded, or until the
// engine's report shows that the ordered state holds. An order without a response may
// have been carried out, or may be carried out later.
func sendUntilAnswered(ctx context.Context, e Engine, o Order, holds func(peers.Report) bool) error {
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
		if !pause(ctx, orderRetryPause) {
			return fmt.Errorf("%s: %w", o.Operation, errors.Join(cause, err, ctx.Err()))
		}
	}
}

// PrepareMap makes one rank copy the experts of a version, and returns when the copies
// are complete. A rank refuses while it is armed for an earlier version; the order is
// then sent again. A rank that has the version already may have it from another order: its
// experts are then compared with those of this one.
func PrepareMap(ctx context.Context, e Engine, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	unanswered, conflicts := false, 0
	for {
		outcome, cause := e.Order(ctx, o)
		if outcome == Begun {
			return waitPrepared(ctx, e, o, prepareTimeout)
		}
		state, err := e.Report(ctx)
		switch {
		case err == nil && state.Epoch != o.Epoch:
			return errEpoch
		case outcome == Done, err == nil && hasVersion(state, o):
			return errors.Join(waitPrepared(ctx, e, o, prepareTimeout), sameExperts(ctx, e, o))
		case outcome == Conflict && err == nil && state.Armed == 0 && unanswered:
			// An earlier order without a response was carried out; its copies may
			// still be in progress.
			return errors.Join(waitPrepared(ctx, e, o, lateCopyTimeout), sameExperts(ctx, e, o))
		case outcome == Conflict && err == nil && state.Armed == 0:
			// The rank may have been armed at the time of the refusal.
			if conflicts++; conflicts == maxConflicts {
				return fmt.Errorf("%w: %w", errConflict, cause)
			}
		}
		unanswered = unanswered || outcome == Unanswered
		if !pause(ctx, orderRetryPause) {
			return errors.Join(ctx.Err(), cause, err)
		}
	}
}

// hasVersion reports whether a rank uses the version of an order or has prepared it.
func hasVersion(s peers.Report, o Order) bool {
	return s.Prepared == o.Version || s.Map == o.Version
}

// sameExperts returns an error unless the experts that a rank has for the version of an
// order are those of the order. A version number alone does not show it: engines do not
// compare maps.
func sameExperts(ctx context.Context, e Engine, o Order) error {
	state, err := e.Report(ctx)
	if err != nil {
		return err
	}
	maps, err := e.Maps(ctx)
	if err != nil {
		return err
	}
	has := maps.Map
	if maps.Prepared != nil && maps.Prepared.Version == o.Version {
		has = *maps.Prepared
	}
	switch {
	case maps.Epoch != o.Epoch || state.Epoch != o.Epoch:
		return errEpoch
	case has.Version != o.Version || len(has.Experts) != len(o.Map):
		return fmt.Errorf("%w: the rank has version %d with %d layers", errConflict, has.Version, len(has.Experts))
	}
	for layer, ranks := range o.Map {
		if state.Rank >= len(ranks) || !sameSet(ranks[state.Rank], has.Experts[layer]) {
			return fmt.Errorf("%w: the rank has another map of version %d", errConflict, o.Version)
		}
	}
	return nil
}

// sameSet reports whether two lists of different numbers hold the same numbers.
func sameSet(a, b []int) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// maxConflicts is the number of refusals without a visible reason after which a rank
// counts as unable to prepare a version.
const maxConflicts = 3

// lateCopyTimeout limits the time to complete copies that an order without a response
// may have started.
const lateCopyTimeout = 1500 * time.Millisecond

// waitPrepared waits until a rank has prepared the version of an order, at most for
// limit.
func waitPrepared(ctx context.Context, e Engine, o Order, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		state, err := e.Report(ctx)
		switch {
		case err == nil && state.Epoch != o.Epoch:
			return errEpoch
		case err == nil && hasVersion(state, o):
			return nil
		}
		if !pause(ctx, preparedPoll) {
			return errors.Join(ctx.Err(), err)
		}
	}
}

// reports returns the reports of all ranks, which it reads concurrently.
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

// all calls f concurrently for every rank's engine and returns the joined errors.
func all(engines []Engine, f func(rank int, e Engine) error) error {
	errs := make([]error, len(engines))
	var calls sync.WaitGroup
	for rank, e := range engines {
		calls.Go(func() {
			if err := f(rank, e); err != nil {
				errs[rank] = fmt.Errorf("rank %d: %w", rank, err)
			}
		})
	}
	calls.Wait()
	return errors.Join(errs...)
}

// pause waits for d. It returns false if ctx is done before.
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
