// Package command runs the calls of callers and administrators that run or
// change something.
package command

import (
	"context"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/usage"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/retry"
	"github.com/coltsfootbay/coltsfootbay/internal/routing"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// View is the part of the member view that commands need.
type View interface {
	Agents() []member.Agent
	Agent(fleet.ProcessID) (member.Agent, bool)
}

// Stream is one request stream to an agent.
type Stream interface {
	Send(wire.Message) error
	Receive() (wire.Message, error)
	SetReadDeadline(time.Time)
	SetWriteDeadline(time.Time)
	CloseSend()
	Abort()
	// LinkLost reports whether the whole connection is down.
	LinkLost() bool
}

// Links opens request streams over the links to agents.
type Links interface {
	// Open opens a stream over the present link.
	Open(ctx context.Context, agent fleet.ProcessID) (Stream, fleet.StartID, error)
	// WaitOpen waits for a link until ctx is done.
	WaitOpen(ctx context.Context, agent fleet.ProcessID) (Stream, fleet.StartID, error)
	// PublishSuspicions returns when the others know, or after its own bound.
	PublishSuspicions(ctx context.Context, suspicions []wire.Suspicion)
}

// Configuration is the part of the document store that commands need.
type Configuration interface {
	Ready() bool
	Effective() *dynamic.Effective
}

// Commands holds what the commands work on.
type Commands struct {
	View       View
	Links      Links
	Router     *routing.Router
	Budget     *retry.Budget
	Quarantine *quarantine.Registry
	Store      Configuration
	Tickets    *ticket.File
	Recorder   *events.Recorder
	Usage      *usage.Usage
	// Paused reports whether the process was stopped a short time ago. Nil
	// means never.
	Paused func() bool
	// TicketLifetime is how long a ticket can be used.
	TicketLifetime time.Duration
	// StreamBufferBytes bounds the text that a slow caller has not read yet.
	StreamBufferBytes int
}

// Call is what is known about a caller's request once it is admitted.
type Call struct {
	ID          fleet.RequestID
	Account     *dynamic.Account
	Rank        fleet.Rank
	Deadline    time.Time
	Fingerprint uint64
}

// remaining returns the milliseconds until the deadline.
func (c *Call) remaining() int64 { return max(time.Until(c.Deadline).Milliseconds(), 0) }
