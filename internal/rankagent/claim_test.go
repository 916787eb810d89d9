package rankagent

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

// expire ends the claims of all agents.
func (g *fakeGroup) expire() {
	for _, r := range g.ranks {
		r.claims.mu.Lock()
		r.claims.until = time.Time{}
		r.claims.mu.Unlock()
	}
}

// Guards against a rank that counts as prepared because another controller's map has the
// same version.
func TestPreparedVersionWithOtherExpertsIsAConflict(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup(2, 1, 0)
	order := func(experts ...int) Order {
		return Order{Operation: Prepare, Epoch: 1, Version: 4, Map: [][][]int{{{0, 1}, experts}}}
	}
	is.NoErr(PrepareMap(context.Background(), g.ranks[1], order(2, 3)))
	is.NoErr(PrepareMap(context.Background(), g.ranks[1], order(3, 2))) // the order of the experts has no meaning
	is.True(errors.Is(PrepareMap(context.Background(), g.ranks[1], order(2, 1)), errConflict))
}

// Guards against two controllers that hold the group at the same time: the one releases it
// while the other one arms the ranks.
func TestSecondControllerDoesNotTouchAClaimedGroup(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup(3, 1, 0)
	g.prepare(1)
	_, err := ClaimAll(context.Background(), g.agents(), "a")
	is.NoErr(err)
	_, err = Switch(context.Background(), g.engines(), g.agents(), SwitchRequest{Holder: "b", Epoch: 1, Version: 1, PassesAhead: NextPass})
	is.True(errors.Is(err, errClaimed))
	_, err = Resolve(context.Background(), g.engines(), g.agents(), "b")
	is.True(errors.Is(err, errClaimed))
	for _, r := range g.ranks {
		is.Equal(r.orders, 0)
	}
	g.expire()
	_, err = ClaimAll(context.Background(), g.agents(), "b")
	is.NoErr(err)
}

// Guards against a resolution beside another controller's switch because the first rank's
// agent does not respond.
func TestClaimOfRespondingAgentsHoldsWithoutTheFirst(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup(3, 1, 0)
	_, err := ClaimAll(context.Background(), g.agents()[1:], "a")
	is.NoErr(err)
	g.ranks[0].unresponsive = true
	_, err = Resolve(context.Background(), g.engines(), g.agents(), "b")
	is.True(errors.Is(err, errClaimed))
}

// Guards against an agent that forgets a claim when it is started again.
func TestStartingAgentGrantsNoClaim(t *testing.T) {
	is := is.New(t)
	c := newClaims()
	granted, _ := c.take("b")
	is.True(!granted)
	is.True(c.excludes("a"))
	c.until = time.Now().Add(-time.Millisecond)
	granted, _ = c.take("b")
	is.True(granted)
	is.True(!c.excludes("b"))
	granted, holder := c.take("a")
	is.True(!granted)
	is.Equal(holder, "b")
}

// Guards against a claim that ends before the lease of its holder, whose last orders then
// meet those of another controller.
func TestClaimOutlastsLeaseOfSwitch(t *testing.T) {
	is := is.New(t)
	is.True(claimLease > SwitchLease)
}

// Guards against calls of a controller that another one's claim excludes, over the agents'
// HTTP interface.
func TestAgentRefusesCallsBesideAClaim(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup(1, 1, 0)
	a := New(Config{Engine: g.ranks[0], Recorder: events.NewRecorder("agent", 1, &strings.Builder{})})
	a.claims.until = time.Time{}
	server := httptest.NewServer(a.Handler())
	defer server.Close()
	client := NewClient(strings.TrimPrefix(server.URL, "http://"))
	report, err := client.Claim(context.Background(), "a")
	is.NoErr(err)
	is.Equal(report.Epoch, int64(1))
	order := Order{Operation: Prepare, Epoch: 1, Version: 4, Map: [][][]int{{{0}}}}
	is.True(client.Prepare(context.Background(), "b", order) != nil)
	is.Equal(g.ranks[0].orders, 0)
	is.NoErr(client.Prepare(context.Background(), "a", order))
	_, err = client.Claim(context.Background(), "b")
	is.True(errors.Is(err, errClaimed))
}

// Guards against forward passes with different maps, and against a group that stays held,
// while two controllers change the map of a group again and again, orders get no response
// and half of those are carried out late. Their versions collide.
func TestTwoControllersWithLostAndLateOrders(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const ranks, changes = 4, 12
			g := newFakeGroup(ranks, seed, 0.3)
			startGroup(t, g)
			var controllers sync.WaitGroup
			for n, holder := range []string{"a", "b"} {
				controllers.Go(func() {
					for i := range changes {
						experts := make([][]int, ranks)
						for rank := range experts {
							experts[rank] = []int{rank, 10*(n+1) + i}
						}
						o := Order{Operation: Prepare, Epoch: 1, Version: int64(i + 1), Map: [][][]int{experts}}
						changeOnce(g, holder, o)
					}
				})
			}
			controllers.Wait()
			g.expire()
			_, err := Resolve(context.Background(), g.engines(), g.agents(), "c")
			is.NoErr(err)
			time.Sleep(10 * passTime)
			mixed, held, current := g.state()
			is.Equal(mixed, int64(0)) // pass with different maps
			is.True(!held)
			is.True(current > 0)
		})
	}
}

// changeOnce changes the map of a group as a controller does.
func changeOnce(g *fakeGroup, holder string, o Order) {
	ctx := context.Background()
	if _, err := ClaimAll(ctx, g.agents(), holder); err != nil {
		time.Sleep(claimLease / 4)
		return
	}
	var prepares sync.WaitGroup
	errs := make([]error, len(g.ranks))
	for rank, r := range g.ranks {
		prepares.Go(func() { errs[rank] = PrepareMap(ctx, claimedEngine{Engine: r, claims: &r.claims, holder: holder}, o) })
	}
	prepares.Wait()
	if errors.Join(errs...) != nil {
		return
	}
	request := SwitchRequest{Holder: holder, Epoch: 1, Version: o.Version, HeldRank: int(o.Version) % len(g.ranks), PassesAhead: NextPass}
	if _, err := Switch(ctx, g.engines(), g.agents(), request); err != nil {
		_, _ = Resolve(ctx, g.engines(), g.agents(), holder)
	}
}
