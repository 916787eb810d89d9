// Package command implements the calls of client accounts and administrators that
// run or change something: completions, calls of plain services, tickets and the
// quarantine. For each call it decides which agent runs it, whether a failed
// attempt is retried, and which verdict the caller gets.
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

// View is the part of the member view that Commands uses.
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

// Links opens request streams over the links to agents and publishes suspicions.
type Links interface {
	// Open opens a stream over the current link. It returns the agent's start.
	Open(ctx context.Context, agent fleet.ProcessID) (Stream, fleet.StartID, error)
	// WaitOpen is like Open but waits for a link until ctx is done.
	WaitOpen(ctx context.Context, agent fleet.ProcessID) (Stream, fleet.StartID, error)
	// PublishSuspicions sends suspicions to the other processes. It returns when
	// they have acknowledged them or after a time limit of its own.
	PublishSuspicions(ctx context.Context, suspicions []wire.Suspicion)
}

// Configuration is the part of the document store that Commands uses.
type Configuration interface {
	Ready() bool
	Effective() *dynamic.Effective
}

// Commands holds the dependencies and limits of all calls.
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
	// Paused reports whether the process was paused recently. Nil means never.
	Paused func() bool
	// TicketLifetime is how long a ticket is valid after it is issued.
	TicketLifetime time.Duration
	// StreamBufferBytes bounds the memory, in bytes, of the parts that a slow
	// caller has not read yet.
	StreamBufferBytes int
}

// Call holds the identity and parameters of an admitted request.
type Call struct {
	ID          fleet.RequestID
	Account     *dynamic.Account
	Rank        fleet.Rank
	Deadline    time.Time
	Fingerprint uint64
	// Properties holds the fingerprints of what the request has in common with others.
	Properties []uint64
}

// fingerprints returns the fingerprint of the request, followed by those of its
// properties.
func (c *Call) fingerprints() []uint64 { return append([]uint64{c.Fingerprint}, c.Properties...) }

// remainingMS returns the milliseconds until the deadline, at least 0.
func (c *Call) remainingMS() int64 { return max(time.Until(c.Deadline).Milliseconds(), 0) }
