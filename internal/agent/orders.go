package agent

import (
	"context"
	"net/http"

	"github.com/coltsfootbay/coltsfootbay/internal/orders"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

func (a *agent) newArbiter() *orders.Arbiter {
	b := a.config.BackendServer
	return orders.NewArbiter(orders.ArbiterConfig{
		Engine:        &orders.HTTPEngine{URL: b.URL, Get: a.server.client, Client: newClient},
		Desired:       func(o orders.Order) bool { return orders.IsDesired(a.store.Effective().Engines[a.process], o) },
		ChecksFencing: b.ChecksFencing,
		Lease:         b.OrderLease.Std(),
		Timeout:       b.OrderTimeout.Std(),
		Recorder:      a.recorder,
	})
}

// claimLease answers a controller's claim.
func (a *agent) claimLease(c *call, m *wire.LeaseClaim) {
	switch {
	case !a.isModel():
		a.refuse(c, "", noEngineError())
	case a.leaving.Load() && !m.Release:
		_ = c.stream.Send(&wire.Lease{Reason: orders.ReasonLeaving})
	default:
		_ = c.stream.Send(a.orders.Claim(c.stream.Context(), m))
	}
}

// sendOrder sends an order to the engine and answers when its effect is settled.
func (a *agent) sendOrder(c *call, m *wire.OrderRequest) {
	if !a.isModel() {
		a.refuse(c, "", noEngineError())
		return
	}
	result := a.orders.Send(c.stream.Context(), m)
	if result.Done {
		a.probe(context.WithoutCancel(c.stream.Context()), probeFailures)
	}
	_ = c.stream.Send(result)
}

func noEngineError() *verdict.Error {
	return verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "the agent has no model engine")
}
