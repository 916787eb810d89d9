package mapcontrol

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/rankagent"
)

// fixedOutcomeEngine is an engine that answers every order with the same outcome.
type fixedOutcomeEngine struct {
	rankagent.Engine
	outcome rankagent.Outcome
}

func (e fixedOutcomeEngine) Order(context.Context, rankagent.Order) (rankagent.Outcome, error) {
	return e.outcome, errors.New("outcome of the test")
}

// Guards against groups that are held while a lost order is sent again: with one order
// in ten lost, streams had long gaps at each switch. A refusal is an answer and does
// not count as a lost order.
func TestOnlyUnansweredOrdersCountAsLost(t *testing.T) {
	is := is.New(t)
	c := New(Config{})
	lost := func() { c.lastLostOrder.Store(time.Now().UnixNano()) }
	for _, o := range []rankagent.Outcome{rankagent.Begun, rankagent.Done, rankagent.Conflict} {
		_, _ = lossRecordingEngine{Engine: fixedOutcomeEngine{outcome: o}, onLost: lost}.Order(context.Background(), rankagent.Order{})
		is.True(!c.ordersLost())
	}
	_, _ = lossRecordingEngine{Engine: fixedOutcomeEngine{outcome: rankagent.Unanswered}, onLost: lost}.Order(context.Background(), rankagent.Order{})
	is.True(c.ordersLost())
	c.lastLostOrder.Store(time.Now().Add(-lostOrderWindow).UnixNano())
	is.True(!c.ordersLost())
}

// Guards against a raised limit while orders get lost: passes stayed long for seconds
// after a demand shift, and more streams missed their targets than callers were served
// (the score fell from 0.576 to 0.523).
func TestLostOrdersPreventHigherLimit(t *testing.T) {
	is := is.New(t)
	c := New(Config{RefusedRecently: func(string) bool { return true }})
	is.True(c.allowHigherLimit("m"))
	c.lastLostOrder.Store(time.Now().UnixNano())
	is.True(!c.allowHigherLimit("m"))
	c.lastLostOrder.Store(time.Now().Add(-lostOrderWindow - time.Second).UnixNano())
	is.True(c.allowHigherLimit("m"))
}
