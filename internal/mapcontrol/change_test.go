package mapcontrol

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/rankagent"
)

// orders is an engine that answers orders with an outcome.
type orders struct {
	rankagent.Engine
	outcome rankagent.Outcome
}

func (o orders) Order(context.Context, rankagent.Order) (rankagent.Outcome, error) {
	return o.outcome, errors.New("outcome of the test")
}

// Guards against groups that stand still while a lost order is sent again: with one
// order in ten lost, the streams of scale-1 had long pauses at each switch. A refusal
// is an answer.
func TestLostOrdersMoveSwitchesAhead(t *testing.T) {
	is := is.New(t)
	c := New(Config{})
	lost := func() { c.lostAt.Store(time.Now().UnixNano()) }
	for _, o := range []rankagent.Outcome{rankagent.Begun, rankagent.Done, rankagent.Conflict} {
		_, _ = watchedEngine{Engine: orders{outcome: o}, lost: lost}.Order(context.Background(), rankagent.Order{})
		is.True(!c.ordersLost())
	}
	_, _ = watchedEngine{Engine: orders{outcome: rankagent.Unanswered}, lost: lost}.Order(context.Background(), rankagent.Order{})
	is.True(c.ordersLost())
	c.lostAt.Store(time.Now().Add(-lossMemory).UnixNano())
	is.True(!c.ordersLost())
}

// Guards against a high limit while orders get lost: on scale-1 of kta-bell passes
// stayed long for seconds after a shift, and more streams were late than callers were
// saved (0.576 to 0.523).
func TestLostOrdersKeepTheUsualLimit(t *testing.T) {
	is := is.New(t)
	c := New(Config{RefusedRecently: func(string) bool { return true }})
	is.True(c.pressed("m"))
	c.lostAt.Store(time.Now().UnixNano())
	is.True(!c.pressed("m"))
	c.lostAt.Store(time.Now().Add(-lossMemory - time.Second).UnixNano())
	is.True(c.pressed("m"))
}
