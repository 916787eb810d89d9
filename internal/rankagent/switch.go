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
// and release it while the other one arms the ranks. Switch returns the pass.
func Switch(ctx context.Context, engines []Engine, agents []ClaimingReporter, c SwitchRequest) (step int64, err error) {
	ctx, cancel := withLease(ctx, SwitchLease)
	defer cancel()
	if err := claimPrepared(ctx, agents, c); err != nil {
		return 0, err
	}
	step, err = hold(ctx, engines[c.HeldRank], agents[c.HeldRank], c)
	if err != nil {
		return 0, err
	}
	return step, finish(ctx, engines, c.HeldRank, c.Epoch, c.Version, step)
}

// SwitchRequest describes a switch of a group to a version of its expert map.
type SwitchRequest struct {
	// Holder identifies this start of the controller.
	Holder         string
	Epoch, Version int64
	// HeldRank is the rank whose hold stops the group.
	HeldRank int
	// PassesAhead is how many forward passes after the running one the switch takes
	// place.
	PassesAhead int64
}

// claimPrepared claims all ranks. It returns an error unless every rank responds now and has
// prepared the version. If the group were held while a rank does not respond, it would stay
// held until the rank does.
func claimPrepared(ctx context.Context, agents []ClaimingReporter, c SwitchRequest) error {
	states, err := ClaimAll(ctx, agents, c.Holder)
	if err != nil {
		return err
	}
	for rank, s := range states {
		if s.Epoch != c.Epoch {
			return errEpoch
		}
		if s.Prepared != c.Version {
			return fmt.Errorf("rank %d has version %d prepared", rank, s.Prepared)
		}
	}
	return nil
}

// Resolve ends a pending switch whose coordinator has stopped. The coordinator may have
// held the group and armed any of the ranks. engines holds the ranks of the group, and
// agents the agents on their machines in the same order. It claims the ranks for holder
// and does nothing while another controller has a claim. Resolve returns the state of the
// switch that it found.
func Resolve(ctx context.Context, engines []Engine, agents []ClaimingReporter, holder string) (found string, err error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	states, err := latestReports(ctx, engines, agents, holder)
	if err != nil {
		return "", err
	}
	heldRank := -1
	var version int64
	for rank, s := range states {
		if s.Epoch != states[0].Epoch {
			return "", errEpoch
		}
		if s.HoldPass != 0 {
			heldRank = rank
		}
		version = max(version, s.Armed)
	}
	if heldRank < 0 {
		return "no rank is held", nil
	}
	epoch, step := states[0].Epoch, states[heldRank].HoldPass
	if version == 0 {
		return "held and not armed", release(ctx, engines[heldRank], epoch, step)
	}
	return "held and armed", finish(ctx, engines, heldRank, epoch, version, step)
}

// latestReports claims all ranks and returns their states after the last order of the former
// coordinator. Agents read them immediately. If an agent is missing or does not respond,
// the engines are asked, after a pause in which their reports to other machines become
// newer than that order. The agents that do respond must have granted the claim.
func latestReports(ctx context.Context, engines []Engine, agents []ClaimingReporter, holder string) ([]peers.Report, error) {
	states, err := ClaimAll(ctx, agents, holder)
	switch {
	case errors.Is(err, errClaimed):
		return nil, err
	case err == nil && len(agents) == len(engines):
		return states, nil
	}
	if !pause(ctx, maxReportAge) {
		return nil, ctx.Err()
	}
	return reports(ctx, engines)
}

// finish arms all ranks for a forward pass that is held at heldRank, and releases it.
// If a rank cannot be armed, finish disarms all ranks first.
func finish(ctx context.Context, engines []Engine, heldRank int, epoch, version, step int64) error {
	armed := func(s peers.Report) bool { return s.Armed == version || s.Map == version }
	failed := all(engines, func(e Engine) error {
		return sendUntilAnswered(ctx, e, Order{Operation: Arm, Epoch: epoch, Version: version, Step: step}, armed)
	})
	if failed != nil && ctx.Err() == nil && !errors.Is(failed, errEpoch) {
		if err := all(engines, func(e Engine) error {
			return sendUntilAnswered(ctx, e, Order{Operation: Disarm, Epoch: epoch, Version: version}, neverConfirmed)
		}); err != nil {
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
// pass. The last started pass is read on the engine's own machine, because an engine's
// reports to other machines are some hundred milliseconds old.
func hold(ctx context.Context, e Engine, agent Reporter, c SwitchRequest) (int64, error) {
	var last error
	for range holdAttempts {
		state, err := agent.Report(ctx)
		if err != nil {
			return 0, err
		}
		if state.Epoch != c.Epoch {
			return 0, errEpoch
		}
		if state.HoldPass != 0 {
			return 0, fmt.Errorf("the rank is already held before pass %d", state.HoldPass)
		}
		step := state.Step + c.PassesAhead
		held := func(s peers.Report) bool { return s.HoldPass == step }
		last = sendUntilAnswered(ctx, e, Order{Operation: Hold, Epoch: c.Epoch, Step: step}, held)
		if last == nil {
			return step, nil
		}
		if errors.Is(last, errEpoch) || ctx.Err() != nil {
			break
		}
	}
	return 0, last
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

// all calls f concurrently for every engine and returns the joined errors.
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
