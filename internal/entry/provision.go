package entry

import (
	"cmp"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/adminhttp"
	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/command"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/query"
	"github.com/coltsfootbay/coltsfootbay/internal/entry/usage"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/inbound"
	"github.com/coltsfootbay/coltsfootbay/internal/link"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/memory"
	"github.com/coltsfootbay/coltsfootbay/internal/metrics"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/retry"
	"github.com/coltsfootbay/coltsfootbay/internal/routing"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/shutdown"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
	"github.com/coltsfootbay/coltsfootbay/internal/transport"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// process is an entry process.
type process struct {
	config   settings.EntryConfig
	self     wire.Hello
	recorder *events.Recorder
	metrics  *metrics.Metrics
	store    *config.Store
	view     *member.View
	registry *quarantine.Registry
	endpoint *transport.Endpoint
	links    *link.Manager
	tickets  *ticket.File
	frontend *frontend
	commands *command.Commands
	queries  *query.Queries
	listener net.Listener
	// bounded is the listener without TLS.
	bounded *inbound.Listener
	server  *http.Server
	admin   *adminhttp.Server
	pauses  pauses

	leaveOnce sync.Once
	leaving   chan struct{}
	stop      *shutdown.Stop
}

// validate checks the settings that provision relies on and that the checks of
// the settings file do not cover.
func validate(c settings.EntryConfig) error {
	if c.Name == "" || c.Zone == "" {
		return errors.New("name and zone are required")
	}
	if c.Limits.BodyBytes <= 0 || c.Limits.RequestBytes <= 0 || c.Limits.Connections <= 0 || c.Limits.Streams <= 0 || c.Limits.StreamBufferBytes <= 0 {
		return errors.New("limits.body_bytes, limits.request_bytes, limits.connections, limits.streams and limits.stream_buffer_bytes must be above zero")
	}
	return nil
}

// provision loads the keys, binds the listeners and builds the process. If it
// fails, it closes what it opened.
func provision(c settings.EntryConfig, w io.Writer) (*process, error) {
	memory.ConfigureGC()
	p := newProcess(c, w)
	if err := p.loadAndBind(); err != nil {
		return nil, errors.Join(err, p.cleanup())
	}
	p.build()
	if err := p.bindAdmin(); err != nil {
		return nil, errors.Join(err, p.cleanup())
	}
	return p, nil
}

func newProcess(c settings.EntryConfig, w io.Writer) *process {
	p := &process{config: c, leaving: make(chan struct{}), stop: shutdown.New()}
	p.self = wire.Hello{
		Process: fleet.ProcessID(c.Name), Start: fleet.NewStartID(), Role: fleet.RoleEntry, Zone: fleet.AvailabilityZone(c.Zone),
		Address: c.PeerAddress, AdminAddress: c.AdminAddress, CallerAddress: c.CallerAddress,
	}
	p.recorder = events.NewRecorder(p.self.Process, p.self.Start, w)
	p.metrics = metrics.New(map[string]string{"process": c.Name, "zone": c.Zone})
	p.store = config.NewStore(p.recorder)
	p.registry = quarantine.NewRegistry()
	return p
}

func (p *process) loadAndBind() error {
	var err error
	if p.tickets, err = ticket.OpenFile(p.config.Keys.Ticket); err != nil {
		return err
	}
	identity, err := transport.LoadIdentity(transport.KeyFiles{
		Certificate: p.config.Keys.Certificate, Key: p.config.Keys.Key, Authority: p.config.Keys.Authority,
	})
	if err != nil {
		return err
	}
	if p.endpoint, err = transport.NewEndpoint(p.config.PeerAddress, identity, p.recorder.Clock, true); err != nil {
		return err
	}
	limits := inbound.Limits{Connections: p.config.Limits.Connections, RequestBytes: p.config.Limits.RequestBytes}
	l, err := inbound.Listen(p.config.CallerAddress, limits, inbound.Report("callers", p.metrics, p.recorder))
	if err != nil {
		return fmt.Errorf("listen on the callers' address: %w", err)
	}
	p.listener, p.bounded = l, l
	if p.config.Keys.CallerCertificate != "" {
		if err := p.useCallerTLS(); err != nil {
			return errors.Join(err, l.Close())
		}
	}
	// Port 0 in the settings selects any free port.
	p.self.Address = cmp.Or(p.config.AdvertiseAddress, p.endpoint.Address())
	p.self.CallerAddress = l.Addr().String()
	return nil
}

// useCallerTLS wraps the callers' listener in TLS.
func (p *process) useCallerTLS() error {
	identity, err := transport.LoadIdentity(transport.KeyFiles{Certificate: p.config.Keys.CallerCertificate, Key: p.config.Keys.CallerKey})
	if err != nil {
		return err
	}
	p.listener = tls.NewListener(p.listener, identity.CallerConfig())
	return nil
}

// build creates the components and connects them.
func (p *process) build() {
	p.view = member.NewView(member.Config{Self: p.self, Seeds: p.config.Seeds, AgentSubset: p.config.AgentSubset})
	p.links = link.NewManager(link.Config{Endpoint: p.endpoint, View: p.view, Store: p.store, Quarantine: p.registry, Recorder: p.recorder})
	counts := usage.New(p.metrics.Scope)
	p.commands = &command.Commands{
		View: p.view, Links: command.ManagedLinks(p.links), Router: routing.NewRouter(routing.Policy(p.config.Routing), p.self.Zone),
		Budget: retry.NewBudget(p.config.RetryRatio), Quarantine: p.registry, Store: p.store, Tickets: p.tickets,
		Recorder: p.recorder, Usage: counts, TicketLifetime: time.Duration(p.config.TicketLifetime),
		StreamBufferBytes: p.config.Limits.StreamBufferBytes, Paused: p.pauses.mayDelayCalls,
	}
	p.queries = &query.Queries{
		View: p.view, Store: p.store, Quarantine: p.registry, Usage: counts,
		Leaving: p.isLeaving, Started: time.Now(), InFlight: func() int { return int(p.frontend.inFlight.Load()) },
	}
	p.frontend = newFrontend(p.config, p.commands, p.queries)
	p.frontend.pauses, p.frontend.stop = &p.pauses, p.stop
	p.server = &http.Server{
		Handler:           p.frontend,
		ReadHeaderTimeout: time.Duration(p.config.Limits.ReadTimeout),
		IdleTimeout:       time.Duration(p.config.Limits.IdleTimeout),
		MaxHeaderBytes:    p.config.Limits.HeaderBytes,
		ErrorLog:          log.New(serverLog{p.recorder}, "", 0),
	}
	p.bounded.Configure(p.server)
}

// newFrontend returns the HTTP handler of the callers' listener.
func newFrontend(c settings.EntryConfig, commands *command.Commands, queries *query.Queries) *frontend {
	f := &frontend{config: c, store: commands.Store, recorder: commands.Recorder, usage: commands.Usage, leaving: queries.Leaving, paused: commands.Paused, pauses: &pauses{}, stop: shutdown.New()}
	api := &callersAPI{frontend: f, commands: commands, queries: queries, config: c}
	f.api, f.services = api.handler(), http.HandlerFunc(api.serveService)
	return f
}

func (p *process) bindAdmin() error {
	extra := &adminAPI{commands: p.commands, queries: p.queries, bodyBytes: p.config.Limits.BodyBytes}
	var err error
	p.admin, err = adminhttp.Listen(adminhttp.Options{
		Address: p.config.AdminAddress, KeyFile: p.config.Keys.Admin, Limits: p.config.Limits, Recorder: p.recorder,
		Metrics: p.metrics, Ready: p.ready, Status: func() any { return p.queries.Status() }, Drain: p.drain, Extra: extra.handler(),
	})
	return err
}

func (p *process) ready() error {
	if p.isLeaving() {
		return errors.New("the process is leaving")
	}
	if !p.store.Ready() {
		return errors.New("no configuration has arrived yet")
	}
	return nil
}

// cleanup closes what provision opened.
func (p *process) cleanup() error {
	var errs []error
	if p.listener != nil {
		if err := p.listener.Close(); !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	if p.endpoint != nil {
		errs = append(errs, p.endpoint.Close())
	}
	return errors.Join(append(errs, p.metrics.Close())...)
}

// serverLog records the connection errors that net/http logs.
type serverLog struct{ recorder *events.Recorder }

// Write records one log line.
func (l serverLog) Write(line []byte) (int, error) {
	l.recorder.Record("caller.connection_failed", "", events.F("error", string(line)))
	return len(line), nil
}

func seconds(d tomlfile.Duration) int64 { return int64(time.Duration(d) / time.Second) }
