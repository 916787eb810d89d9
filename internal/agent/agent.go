// Package agent implements the agent process, which runs in front of one
// backend server. It queues, runs and answers the requests that entry VMs send,
// and reports the state of the server.
package agent

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/adminhttp"
	"github.com/coltsfootbay/coltsfootbay/internal/bounded"
	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/ledger"
	"github.com/coltsfootbay/coltsfootbay/internal/link"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/memory"
	"github.com/coltsfootbay/coltsfootbay/internal/metrics"
	"github.com/coltsfootbay/coltsfootbay/internal/orders"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/queue"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/transport"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// publisher is the subset of link.Manager that sends suspicions and reports.
type publisher interface {
	PublishSuspicions(ctx context.Context, suspicions []wire.Suspicion)
	Push()
}

// agent is the state of the agent process from one start to its exit.
type agent struct {
	config   settings.AgentConfig
	process  fleet.ProcessID
	start    fleet.StartID
	started  time.Time
	recorder *events.Recorder
	metrics  *metrics.Metrics
	meters   meters

	keyring    func() *ticket.Keyring
	store      *config.Store
	quarantine *quarantine.Registry
	view       *member.View
	endpoint   *transport.Endpoint
	manager    *link.Manager
	links      publisher
	admin      *adminhttp.Server

	ledger   *ledger.Ledger
	queue    *queue.Queue
	runs     *runTable
	server   *server
	orders   *orders.Arbiter
	rate     rate
	outcomes runOutcomes
	cache    prefixCache
	// responses bounds the responses of a plain service that are being read.
	responses *bounded.Budget
	sequence  atomic.Uint64
	// openCalls counts the request streams that are being served or whose
	// answer the peer has not yet confirmed.
	openCalls atomic.Int64

	leaving   atomic.Bool
	drain     chan struct{}
	drainOnce sync.Once
	changed   chan struct{}
}

// Run serves until ctx is done or a drain is requested, then shuts down
// gracefully and returns nil. It returns an error if the process cannot start
// or a listener fails.
func Run(ctx context.Context, c settings.AgentConfig, log io.Writer) error {
	a := newAgent(c, log)
	if err := a.provision(); err != nil {
		return errors.Join(err, a.cleanup())
	}
	if err := a.validate(); err != nil {
		return errors.Join(err, a.cleanup())
	}
	err := a.serve(ctx)
	return errors.Join(err, a.cleanup())
}

// newAgent returns an agent without listeners, keys or links.
func newAgent(c settings.AgentConfig, log io.Writer) *agent {
	a := &agent{
		config:     c,
		process:    fleet.ProcessID(c.Name),
		start:      fleet.NewStartID(),
		started:    time.Now(),
		quarantine: quarantine.NewRegistry(),
		runs:       newRunTable(),
		responses:  bounded.NewBudget(maxResponsesBytes),
		drain:      make(chan struct{}),
		changed:    make(chan struct{}, 1),
	}
	a.recorder = events.NewRecorder(a.process, a.start, log)
	a.metrics = metrics.New(map[string]string{"process": c.Name})
	a.meters = newMeters(a.metrics.Scope)
	a.store = config.NewStore(a.recorder)
	a.server = newServer(c.BackendServer)
	a.orders = a.newArbiter()
	a.ledger = ledger.New(ledger.Options{Agent: a.process, Start: a.start, Uptime: a.uptime, Bytes: c.LedgerBytes})
	ordering, _ := queue.ParseOrdering(c.Queue.Ordering) // the settings are validated
	a.queue = queue.New(queue.Options{
		Items:  c.Queue.Items,
		Bytes:  c.Queue.Bytes,
		Floors: [fleet.RankCount]float64{fleet.RankMiddle: c.Queue.MiddleFloor, fleet.RankBottom: c.Queue.BottomFloor},
		Rate:   a.rate.perSecond, Ordering: ordering,
		Preempting: c.BackendServer.Kind == settings.KindModel,
	})
	return a
}

// provision loads the keys, binds the listeners and creates the links.
func (a *agent) provision() error {
	memory.ConfigureGC()
	keys, err := ticket.OpenFile(a.config.Keys.Ticket)
	if err != nil {
		return err
	}
	a.keyring = keys.Keyring
	identity, err := transport.LoadIdentity(transport.KeyFiles{
		Certificate: a.config.Keys.Certificate, Key: a.config.Keys.Key, Authority: a.config.Keys.Authority,
	})
	if err != nil {
		return err
	}
	a.endpoint, err = transport.NewEndpoint(a.config.PeerAddress, identity, a.recorder.Clock, true)
	if err != nil {
		return err
	}
	a.admin, err = adminhttp.Listen(a.adminOptions())
	if err != nil {
		return err
	}
	a.connect()
	return nil
}

// connect creates the member view and the link manager on the bound endpoint.
func (a *agent) connect() {
	a.view = member.NewView(member.Config{Self: a.hello()})
	a.manager = link.NewManager(link.Config{
		Endpoint:      a.endpoint,
		View:          a.view,
		Store:         a.store,
		Quarantine:    a.quarantine,
		Recorder:      a.recorder,
		Report:        a.report,
		HandleRequest: func(ctx context.Context, s *transport.Stream) { a.handle(ctx, s) },
	})
	a.links = a.manager
}

func (a *agent) hello() wire.Hello {
	return wire.Hello{
		Process:      a.process,
		Start:        a.start,
		Role:         fleet.RoleAgent,
		Zone:         fleet.AvailabilityZone(a.config.Zone),
		Address:      cmp.Or(a.config.AdvertiseAddress, a.endpoint.Address()),
		AdminAddress: a.config.AdminAddress,
	}
}

// validate checks the keys and settings once they are loaded.
func (a *agent) validate() error {
	if a.keyring() == nil {
		return fmt.Errorf("ticket key file %s has no keys", a.config.Keys.Ticket)
	}
	if a.config.BackendServer.Kind != settings.KindModel && a.config.BackendServer.Kind != settings.KindService {
		return fmt.Errorf("backend_server.kind %q is not one of model, service", a.config.BackendServer.Kind)
	}
	return nil
}

// cleanup closes the endpoint and the metrics.
func (a *agent) cleanup() error {
	var errs []error
	if a.endpoint != nil {
		errs = append(errs, a.endpoint.Close())
	}
	errs = append(errs, a.metrics.Close())
	return errors.Join(errs...)
}

// uptime returns the time since the start of the process, on the monotonic
// clock.
func (a *agent) uptime() time.Duration { return time.Since(a.started) }

// triggerReport schedules a report to the entry VMs. It never blocks.
func (a *agent) triggerReport() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}
