package rankagent

import (
	"context"
	"errors"
	"slices"

	"github.com/coltsfootbay/coltsfootbay/internal/peers"
)

// Resolve ends a pending switch whose coordinator has stopped. The coordinator may have
// held the group and armed any of the ranks, and its orders may still be carried out.
// engines holds the ranks of the group, and agents the agents on their machines in the
// same order. It claims the ranks for holder and does nothing while another controller has
// a claim. Resolve returns the state of the switch that it found first.
func Resolve(ctx context.Context, engines []Engine, agents []ClaimingReporter, holder string) (found string, err error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for {
		states, err := latestReports(ctx, engines, agents, holder)
		if err != nil {
			return found, err
		}
		p, err := findPending(states)
		if err != nil {
			return found, err
		}
		if found == "" {
			found = p.String()
		}
		err = p.end(ctx, engines, states)
		if !errors.Is(err, errAllArmed) {
			return found, err
		}
		// Late orders have armed the other ranks since they were read.
	}
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

// pending describes a switch by the states of the ranks.
type pending struct {
	// held holds the ranks that are held.
	held []int
	// version is the highest version for which a rank is armed; 0 if none is armed.
	version int64
	// allArmed is true if every rank is armed for version, and canArm if some are and the
	// others have prepared it.
	allArmed, canArm bool
}

// findPending returns the pending switch of a group. The error is errEpoch if the ranks
// report different epochs.
func findPending(states []peers.Report) (pending, error) {
	p := pending{}
	for rank, s := range states {
		if s.Epoch != states[0].Epoch {
			return pending{}, errEpoch
		}
		if s.HoldPass != 0 {
			p.held = append(p.held, rank)
		}
		p.version = max(p.version, s.Armed)
	}
	p.allArmed, p.canArm = p.version != 0, p.version != 0
	for _, s := range states {
		armed := s.Armed == p.version || s.Map == p.version
		p.allArmed = p.allArmed && armed
		p.canArm = p.canArm && (armed || s.Armed == 0 && s.Prepared == p.version)
	}
	return p, nil
}

// String returns the state for the log.
func (p pending) String() string {
	switch {
	case len(p.held) == 0 && p.version != 0 && !p.allArmed:
		return "some ranks are armed and none is held"
	case len(p.held) == 0:
		return "no rank is held"
	case p.version == 0:
		return "held and not armed"
	}
	return "held and armed"
}

// end completes the switch if every rank is armed or can be, and discards it otherwise. The
// error is errAllArmed if late orders have armed every rank meanwhile.
func (p pending) end(ctx context.Context, engines []Engine, states []peers.Report) error {
	switch {
	case p.allArmed, p.version == 0 && len(p.held) == 0:
		// Only the holds are left. The coordinator may have sent a release already.
	case p.canArm && len(p.held) == 1:
		// The coordinator has sent no release, and this hold is its own: it keeps the group
		// held while it arms ranks.
		rank := p.held[0]
		return finish(ctx, engines, rank, states, p.version, states[rank].HoldPass)
	default:
		if err := discardPrepared(ctx, engines, states); err != nil {
			return err
		}
	}
	var failed error
	for _, rank := range p.held {
		failed = errors.Join(failed, release(ctx, engines[rank], states[rank].Epoch, states[rank].HoldPass))
	}
	return failed
}

// errAllArmed is the error of discardPrepared if every rank is armed.
var errAllArmed = errors.New("every rank is armed")

// versionGap is how far a version is raised that an engine refused for a reason that its
// report does not show: it has had a higher one.
const versionGap = 1 << 20

// discardPrepared makes sure that no rank can be armed any more for a version that was
// prepared before, whatever late orders are carried out. Each rank prepares the experts that
// it has as a newer version, which copies nothing, replaces the prepared version, and is
// never armed. Armed ranks refuse that. They are disarmed once another rank has replaced
// the version, because until then another controller may complete the switch. If there is
// no such rank, the error is errAllArmed.
func discardPrepared(ctx context.Context, engines []Engine, states []peers.Report) error {
	experts, err := currentExperts(ctx, engines, states[0].Epoch)
	if err != nil {
		return err
	}
	version := int64(0)
	for _, s := range states {
		version = max(version, s.Map, s.Prepared, s.Armed)
	}
	o := Order{Operation: Prepare, Epoch: states[0].Epoch, Version: version + 1, Map: experts}
	armed := make([]bool, len(engines))
	err = all(engines, func(rank int, e Engine) error {
		err := replacePrepared(ctx, e, o, false)
		if armed[rank] = errors.Is(err, errArmed); armed[rank] {
			return nil
		}
		return err
	})
	if err != nil {
		return err
	}
	if !slices.Contains(armed, false) {
		return errAllArmed
	}
	return all(engines, func(rank int, e Engine) error {
		if !armed[rank] {
			return nil
		}
		return replacePrepared(ctx, e, o, true)
	})
}

// errArmed is the error of replacePrepared if the rank is armed.
var errArmed = errors.New("the rank is armed")

// replacePrepared makes a rank prepare the version of an order, or a higher one if it has had
// that version. It disarms the rank if it may.
func replacePrepared(ctx context.Context, e Engine, o Order, mayDisarm bool) error {
	prepared := func(s peers.Report) bool { return s.Prepared == o.Version }
	for {
		err := sendUntilAnswered(ctx, e, o, prepared)
		if !errors.Is(err, errConflict) {
			return err
		}
		state, err := e.Report(ctx)
		switch {
		case err != nil:
		case state.Epoch != o.Epoch:
			return errEpoch
		case state.Armed == 0:
			o.Version = max(o.Version, state.Prepared, state.Map) + versionGap
		case !mayDisarm:
			return errArmed
		default:
			disarm := Order{Operation: Disarm, Epoch: o.Epoch, Version: state.Armed}
			if err := sendUntilAnswered(ctx, e, disarm, neverConfirmed); err != nil && !errors.Is(err, errConflict) {
				return err
			}
		}
		if !pause(ctx, orderRetryPause) {
			return errors.Join(ctx.Err(), err)
		}
	}
}

// currentExperts returns the map in use, by layer and rank.
func currentExperts(ctx context.Context, engines []Engine, epoch int64) ([][][]int, error) {
	maps := make([]Maps, len(engines))
	err := all(engines, func(rank int, e Engine) (err error) {
		maps[rank], err = e.Maps(ctx)
		return err
	})
	if err != nil {
		return nil, err
	}
	layers := make([][][]int, len(maps[0].Map.Experts))
	for _, m := range maps {
		if m.Epoch != epoch || len(m.Map.Experts) != len(layers) {
			return nil, errEpoch
		}
		for layer, experts := range m.Map.Experts {
			layers[layer] = append(layers[layer], experts)
		}
	}
	return layers, nil
}
