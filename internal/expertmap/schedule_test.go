package expertmap

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/standin"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

var (
	schedules        = flag.Int("schedules", 500, "number of random schedules")
	firstSeed        = flag.Uint64("first-seed", 1, "seed of the first schedule")
	errNoAnswer      = errors.New("no answer")
	stepsPerSchedule = 400
)

// pendingCall is a call for whose answer a coordinator waits.
type pendingCall struct {
	coordinator *runningCoordinator
	rank        int
	message     wire.MapCall
	answer      chan *wire.MapAnswer
}

// runningCoordinator is a coordinator that is blocked in a call. Its goroutine runs
// only while the schedule waits for it, so a seed determines the schedule.
type runningCoordinator struct {
	waiting *pendingCall
	yield   chan *pendingCall
	cancel  context.CancelFunc
	// paused is true while the coordinator gets no answers.
	paused bool
}

// schedule runs coordinators against a simulated group and delivers all messages.
type schedule struct {
	random     *rand.Rand
	group      *standin.Group
	agents     []fleet.ProcessID
	number     uint64
	startCount int
	running    []*runningCoordinator
	// lateMessages holds messages to deliver later, either again or for the first time.
	lateMessages []pendingCall
}

func newSchedule(seed uint64, ranks int) *schedule {
	s := &schedule{random: rand.New(rand.NewPCG(seed, 1)), group: standin.NewGroup(standin.GroupConfig{Ranks: ranks}), number: 1}
	for rank := range ranks {
		s.agents = append(s.agents, fleet.ProcessID(fmt.Sprint(rank)))
	}
	return s
}

// start adds a coordinator without any state.
func (s *schedule) start() {
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningCoordinator{yield: make(chan *pendingCall), cancel: cancel}
	s.startCount++
	c := NewCoordinator(Config{
		Owner: fmt.Sprint(s.startCount), Sequential: true, Recorder: events.NewRecorder("agent", 1, io.Discard),
		Call: func(ctx context.Context, agent fleet.ProcessID, m *wire.MapCall) (*wire.MapAnswer, error) {
			rank := 0
			_, _ = fmt.Sscan(string(agent), &rank)
			call := &pendingCall{coordinator: r, rank: rank, message: *m, answer: make(chan *wire.MapAnswer)}
			select {
			case r.yield <- call:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			select {
			case answer := <-call.answer:
				if answer == nil {
					return nil, errNoAnswer
				}
				return answer, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	})
	go func() {
		for ctx.Err() == nil {
			_ = c.Round(ctx, dynamic.Group{Name: "g", Number: s.number, Ranks: s.agents})
		}
	}()
	r.waiting = <-r.yield
	s.running = append(s.running, r)
}

// answer answers the pending call and lets the coordinator run to its next one.
func (r *runningCoordinator) answer(a *wire.MapAnswer) {
	r.waiting.answer <- a
	r.waiting = <-r.yield
}

// deliver executes a coordinator's pending call, with a random fault if faults is set.
func (s *schedule) deliver(r *runningCoordinator, faults bool) {
	call := *r.waiting
	fault := 0
	if faults {
		fault = s.random.IntN(30)
	}
	switch fault {
	case 1: // the call is lost
		r.answer(nil)
	case 2: // the answer is lost
		s.group.Map(call.rank, call.message)
		r.answer(nil)
	case 3: // the call arrives after the timeout
		s.lateMessages = append(s.lateMessages, call)
		r.answer(nil)
	case 4: // the call arrives twice, the second time late
		s.lateMessages = append(s.lateMessages, call)
		fallthrough
	default:
		a := s.group.Map(call.rank, call.message)
		r.answer(&a)
	}
}

// deliverLate delivers one of the late messages.
func (s *schedule) deliverLate() {
	if len(s.lateMessages) == 0 {
		return
	}
	// Old messages belong to old epochs and are refused, so mostly recent ones are
	// delivered.
	i := len(s.lateMessages) - 1 - s.random.IntN(min(len(s.lateMessages), 3))
	if s.random.IntN(8) == 0 {
		i = s.random.IntN(len(s.lateMessages))
	}
	s.group.Map(s.lateMessages[i].rank, s.lateMessages[i].message)
	s.lateMessages = append(s.lateMessages[:i], s.lateMessages[i+1:]...)
}

// step performs one random step of the schedule.
func (s *schedule) step() {
	r := s.running[s.random.IntN(len(s.running))]
	switch s.random.IntN(20) {
	case 0:
		r.paused = !r.paused
	case 1: // crash: the coordinator is replaced by one without state
		if len(s.running) > 1 {
			r.cancel()
			s.running = remove(s.running, r)
		}
		s.start()
	case 2: // a coordinator is paused and replaced, and resumes later
		if len(s.running) < 3 {
			r.paused = true
			s.start()
		}
	case 3, 6, 7:
		s.deliverLate()
	case 8: // a new document, possibly before the previous map is in use
		s.number++
	case 4:
		for range s.random.IntN(2 * holdMarginSteps) {
			s.group.Advance()
		}
	case 5:
		s.group.Advance()
	default:
		if !r.paused {
			s.deliver(r, true)
		}
	}
}

func remove(list []*runningCoordinator, r *runningCoordinator) []*runningCoordinator {
	var rest []*runningCoordinator
	for _, other := range list {
		if other != r {
			rest = append(rest, other)
		}
	}
	return rest
}

// heal stops all faults, leaves one coordinator and reports whether the group runs
// steps with the newest map again.
func (s *schedule) heal() bool {
	for _, r := range s.running {
		r.cancel()
	}
	s.running = nil
	s.start()
	defer s.running[0].cancel()
	for range 400 {
		s.deliver(s.running[0], false)
		s.group.Advance()
	}
	return s.group.Counts().Map == s.number
}

// Guards against two maps in one step, and against a group that remains held, over
// random schedules with loss, delay, duplication, crashes and pauses on 3 ranks.
func TestRandomSchedules(t *testing.T) {
	switches, held := 0, 0
	for i := range *schedules {
		seed := *firstSeed + uint64(i)
		s := newSchedule(seed, 3)
		s.start()
		for range stepsPerSchedule {
			s.step()
		}
		healed := s.heal()
		c := s.group.Counts()
		if c.Mixed > 0 || !healed {
			t.Fatalf("seed %d: %d steps with two maps, progress with the newest map %t, %+v", seed, c.Mixed, healed, c)
		}
		switches, held = switches+c.Switches, held+c.HeldSteps
	}
	t.Logf("schedules=%d first_seed=%d switches=%d held_steps=%d", *schedules, *firstSeed, switches, held)
}
