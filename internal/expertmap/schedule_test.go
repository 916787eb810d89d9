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
	schedules    = flag.Int("schedules", 500, "number of random schedules")
	firstSeed    = flag.Uint64("first-seed", 1, "seed of the first schedule")
	errLost      = errors.New("no answer")
	scheduleSize = 400
)

// pendingCall is a call that a coordinator waits for.
type pendingCall struct {
	coordinator *runningCoordinator
	rank        int
	message     wire.MapCall
	answer      chan *wire.MapAnswer
}

// runningCoordinator is a coordinator between two calls. Its goroutine runs
// only while the schedule waits for it, so a seed gives one schedule.
type runningCoordinator struct {
	waiting *pendingCall
	yield   chan *pendingCall
	cancel  context.CancelFunc
	// paused coordinators get no answers until they wake.
	paused bool
}

// schedule runs coordinators against the stand-in group, with every message
// passing through it.
type schedule struct {
	random  *rand.Rand
	group   *standin.Group
	agents  []fleet.ProcessID
	number  uint64
	starts  int
	running []*runningCoordinator
	// late holds messages that arrive later, once more or for the first time.
	late []pendingCall
}

func newSchedule(seed uint64, ranks int) *schedule {
	s := &schedule{random: rand.New(rand.NewPCG(seed, 1)), group: standin.NewGroup(standin.GroupConfig{Ranks: ranks}), number: 1}
	for rank := range ranks {
		s.agents = append(s.agents, fleet.ProcessID(fmt.Sprint(rank)))
	}
	return s
}

// start adds a coordinator with an empty memory.
func (s *schedule) start() {
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningCoordinator{yield: make(chan *pendingCall), cancel: cancel}
	s.starts++
	c := NewCoordinator(Config{
		Owner: fmt.Sprint(s.starts), Sequential: true, Recorder: events.NewRecorder("agent", 1, io.Discard),
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
					return nil, errLost
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

// answer lets a coordinator run to its next call.
func (r *runningCoordinator) answer(a *wire.MapAnswer) {
	r.waiting.answer <- a
	r.waiting = <-r.yield
}

// deliver carries a call out, with or without a fault.
func (s *schedule) deliver(r *runningCoordinator, faults bool) {
	call := *r.waiting
	fault := 0
	if faults {
		fault = s.random.IntN(30)
	}
	switch fault {
	case 1: // lost on the way there
		r.answer(nil)
	case 2: // lost on the way back
		s.group.Map(call.rank, call.message)
		r.answer(nil)
	case 3: // late beyond the timeout
		s.late = append(s.late, call)
		r.answer(nil)
	case 4: // twice, the second time late
		s.late = append(s.late, call)
		fallthrough
	default:
		a := s.group.Map(call.rank, call.message)
		r.answer(&a)
	}
}

func (s *schedule) deliverLate() {
	if len(s.late) == 0 {
		return
	}
	// Old messages are of old epochs and are refused, so most that arrive are new.
	i := len(s.late) - 1 - s.random.IntN(min(len(s.late), 3))
	if s.random.IntN(8) == 0 {
		i = s.random.IntN(len(s.late))
	}
	s.group.Map(s.late[i].rank, s.late[i].message)
	s.late = append(s.late[:i], s.late[i+1:]...)
}

// step makes one random step of the schedule.
func (s *schedule) step() {
	r := s.running[s.random.IntN(len(s.running))]
	switch s.random.IntN(20) {
	case 0:
		r.paused = !r.paused
	case 1: // crash: a coordinator in its place knows nothing
		if len(s.running) > 1 {
			r.cancel()
			s.running = remove(s.running, r)
		}
		s.start()
	case 2: // a paused coordinator is replaced and wakes later
		if len(s.running) < 3 {
			r.paused = true
			s.start()
		}
	case 3, 6, 7:
		s.deliverLate()
	case 8: // a new document, also before the last map is in use
		s.number++
	case 4:
		for range s.random.IntN(2 * holdMargin) {
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

// heal ends all faults, leaves one coordinator and reports whether the group
// makes steps with the newest map again.
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

// Guards against two maps in one step, and against a group that stays held, over
// random schedules of loss, delay, duplication, crash and pause with 3 ranks.
func TestRandomSchedules(t *testing.T) {
	switches, held := 0, 0
	for i := range *schedules {
		seed := *firstSeed + uint64(i)
		s := newSchedule(seed, 3)
		s.start()
		for range scheduleSize {
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
