package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/feed"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/gateway"
	"github.com/coltsfootbay/coltsfootbay/internal/logsink"
	"github.com/coltsfootbay/coltsfootbay/internal/mapcontrol"
	"github.com/coltsfootbay/coltsfootbay/internal/metrics"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/retry"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

const (
	// headerTimeout limits how long a client may take to send a request's
	// headers. The deployments' configuration allows 3 s.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle caller connection is kept open. Callers
	// reuse connections that were idle for up to four fifths of the configured
	// limit.
	idleTimeout = 90 * time.Second
	// headerBytes limits the size of a request's headers.
	headerBytes = 64 << 10
	// callReadTimeout and callHeaderBytes limit the time to read a call to a server that
	// forwards nothing, and its headers. A map of a large group takes 2 s over the link of
	// a rank's machine, and preparing it less than 5 s.
	callReadTimeout = 10 * time.Second
	callHeaderBytes = 16 << 10
	// callWriteTimeout limits the time from the head of a call to the end of its answer.
	callWriteTimeout = 20 * time.Second
	// addressLifetime is how long callers cache the gateway addresses. Callers
	// leave a stopping gateway within three times this time.
	addressLifetime = 1500 * time.Millisecond
	// drainNotice is how long a stopping gateway keeps accepting callers whose
	// cached addresses still include it.
	drainNotice = 4500 * time.Millisecond
	// stopMargin is the time before SIGKILL at which shutdown must have ended.
	stopMargin = 700 * time.Millisecond
	// memoryFraction is the Go runtime's soft memory limit as a fraction of the
	// process's memory limit.
	memoryFraction = 0.7
	// metricsPortOffset is added to listen.first_free_port to get the metrics port.
	metricsPortOffset = 10
	// retryShare is the fraction of the fleet's retry budget that gateways use. The rest is
	// for counts that cannot be exact, such as the time between a send and its arrival.
	retryShare = 0.9
	// hellosPerAnnouncement is the number of hellos for each announcement of all counts of
	// requests and retries. New retries are announced with each hello.
	hellosPerAnnouncement = 3
	// firstRecallWait and maxRecallWait bound the time between two queries for the
	// predecessor's retries.
	firstRecallWait = 50 * time.Millisecond
	maxRecallWait   = 400 * time.Millisecond
	// logFlushTimeout limits how long the process waits at exit for queued log
	// lines to be written.
	logFlushTimeout = 300 * time.Millisecond
)

// gatewayProcess is a running gateway.
type gatewayProcess struct {
	config   settings.NodeConfig
	adapter  Adapter
	start    fleet.StartID
	recorder *events.Recorder
	metrics  *metrics.Metrics
	feed     *feed.Feed
	gateway  *gateway.Gateway
	members  *peers.Members
	socket   *peers.Socket
	// suspicions exchanges suspicions of requests that crash servers.
	suspicions *peers.SuspicionExchange
	retries    *retry.ServiceBudgets
	// retryExchange keeps the counts of retries across restarts.
	retryExchange *peers.RetryExchange
	control       *mapcontrol.Controller
	callers       *http.Server
	malformedLog  malformedLog
	// hellos is the number of Hellos so far.
	hellos atomic.Uint64
	// stopTimeout is the time from SIGTERM to SIGKILL in nanoseconds.
	stopTimeout atomic.Int64
}

// RunGateway runs a gateway and logs to w. It returns nil after a graceful
// shutdown, which begins when ctx is done.
func RunGateway(ctx context.Context, load Load, adapt func(settings.NodeConfig) Adapter, w io.Writer) error {
	defer catchHangups()()
	config, err := load()
	if err != nil {
		return err
	}
	sink := logsink.New(w)
	defer sink.Close(logFlushTimeout)
	p, err := newGatewayProcess(config, adapt(config), sink)
	if err != nil {
		return err
	}
	p.recorder.Record("started", "", events.F("zone", config.Zone), events.F("callers", config.Listen.Callers), events.F("control", config.Listen.Control), events.F("first_start", config.FirstStart))
	err = p.run(ctx, load)
	p.recorder.Record("stopped", "", events.F("error", errorText(err)))
	return errors.Join(err, p.metrics.Close())
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func newGatewayProcess(config settings.NodeConfig, adapter Adapter, w io.Writer) (*gatewayProcess, error) {
	debug.SetMemoryLimit(int64(memoryFraction * float64(config.Limits.MemoryMB) * 1e6))
	p := &gatewayProcess{config: config, adapter: adapter, start: fleet.NewStartID()}
	p.stopTimeout.Store(int64(config.Bounds.StopTimeout()))
	p.recorder = events.NewRecorder(fleet.ProcessID(config.Name), p.start, w)
	p.metrics = metrics.New(map[string]string{"process": config.Name})
	p.members = peers.NewMembers(p.self, config.Peers.Seeds, p.recorder)
	p.feed = feed.New(adapter.Source, adapter.Documents, p.recorder, p.members)
	registry := quarantine.NewRegistry()
	p.suspicions = peers.NewSuspicionExchange(config.Listen.Control, registry, p.members, p.trySend, func() { p.gateway.CancelQuarantined() })
	if config.FirstStart {
		p.suspicions.ExtendMemory(quarantine.SuspicionLifetime)
	}
	p.retries = retry.NewServiceBudgets(config.Bounds.RetryRatio*retryShare, time.Duration(config.Bounds.RetryWindowS*float64(time.Second)))
	p.retryExchange = peers.NewRetryExchange(p.self, p.members, p.retries, p.send)
	p.gateway = gateway.New(gateway.Config{
		Zone: fleet.AvailabilityZone(config.Zone), Feed: p.feed, Headers: adapter.Headers, Recorder: p.recorder,
		Metrics: gateway.NewMetrics(p.metrics.Scope), RevocationDelay: config.Bounds.RevocationDelay(),
		Retries: p.retries, AnnounceRetry: p.retryExchange.AnnounceService,
		MemoryBytes: int64(config.Limits.MemoryMB) * 1e6, IdleConnections: int(idleShare * sockets(config.Limits)),
		Quarantine: registry, Suspicions: p.suspicions,
	})
	socket, err := peers.Open(config.Listen.Control)
	if err != nil {
		return nil, err
	}
	p.socket = socket
	p.control = mapcontrol.New(mapcontrol.Config{
		Self: config.Listen.Control, Holder: fmt.Sprintf("%s/%d", config.Listen.Control, p.start), Feed: p.feed, Recorder: p.recorder, Metrics: p.metrics.Scope, Engine: adapter.Engine,
		IsController:      func() bool { return p.members.Controller().ControlAddress == config.Listen.Control },
		ControllerAddress: func() string { return p.members.Controller().ControlAddress },
		RefusedRecently:   p.gateway.RefusedRecently,
		Send:              p.send,
		Gateways:          p.otherGateways,
		Apply:             p.applyGroup,
	})
	return p, nil
}

// self returns the description of this gateway that other gateways receive.
func (p *gatewayProcess) self() peers.Peer {
	history, connected := p.feed.Connection()
	var version int64
	if c := p.feed.Snapshot().Configuration; c != nil {
		version = c.Version
	}
	return peers.Peer{
		Name: p.config.Name, Start: p.start, ControlAddress: p.config.Listen.Control, CallerAddress: p.config.Listen.Callers,
		Zone: fleet.AvailabilityZone(p.config.Zone), Serving: p.gateway.Ready(),
		Stale: !p.gateway.KeysUsable(), Processor: p.config.Limits.Processor,
		StoreConnectedMS: connected.Milliseconds(), StoreHistory: history, ConfigurationVersion: version,
	}
}

// run serves until the process has drained or a component fails. The components
// outlive ctx, because a draining process still serves.
func (p *gatewayProcess) run(ctx context.Context, load Load) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { p.feed.Run(running); return nil })
	group.Go(func() error { p.gateway.Run(running); return nil })
	group.Go(func() error { p.control.Run(running); return nil })
	group.Go(func() error { p.announce(running); return nil })
	group.Go(func() error { p.recallRetries(running); return nil })
	group.Go(func() error {
		watchSettings(running, p.config, load, p.recorder, p.apply)
		return nil
	})
	group.Go(func() error { return p.socket.Receive(p.receive, p.malformed) })
	p.callers = &http.Server{
		Handler: p.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: errorLog(p.recorder), Addr: p.config.Listen.Callers,
	}
	limits := p.config.Limits
	servers := []boundedServer{
		{"callers", p.callers, callerLimits(limits)},
		{"directory", controlServer(p.config.Listen.Directory, p.adapter.Directory(p.addresses)), callLimits(limits, directoryShare, callMemoryShare)},
		{"ready", controlServer(p.config.Listen.Ready, p.adapter.Ready(p.gateway.Ready)), callLimits(limits, callShare, callMemoryShare)},
		{"metrics", controlServer(metricsAddress(p.config), p.metrics.Handler), callLimits(limits, callShare, callMemoryShare)},
	}
	for _, s := range servers {
		group.Go(func() error { return s.serve(p.metrics, p.recorder) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			p.reload(load)
			p.drain()
		case <-running.Done():
		}
		stop()
		for _, s := range servers {
			// Connections that are still open have exceeded the drain deadline.
			_ = s.Close()
		}
		return p.socket.Close()
	})
	return group.Wait()
}

func metricsAddress(c settings.NodeConfig) string {
	return net.JoinHostPort(c.IP, strconv.Itoa(c.Listen.FirstFreePort+metricsPortOffset))
}

// controlServer returns a server for calls that are not forwarded. Each call is bounded in
// bytes and time.
func controlServer(address string, h http.Handler) *http.Server {
	return &http.Server{
		Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: callReadTimeout, WriteTimeout: callWriteTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: callHeaderBytes,
	}
}

// drain shuts the gateway down gracefully. It notifies the other gateways, keeps
// accepting callers for drainNotice, and then closes the listener and waits for
// open requests until the stop deadline.
func (p *gatewayProcess) drain() {
	began := time.Now()
	deadline := began.Add(time.Duration(p.stopTimeout.Load()) - stopMargin)
	p.gateway.StartDrain(deadline)
	p.recorder.Record("leaving", "", events.F("until_ms", time.Until(deadline).Milliseconds()))
	p.sendHellos()
	time.Sleep(min(drainNotice, time.Until(deadline)/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := p.callers.Shutdown(ctx); err != nil {
		p.recorder.Record("leaving_cut_short", "", events.F("error", err.Error()))
	}
}

// apply applies changed settings. Changes of addresses and machine limits take
// effect at the next start.
func (p *gatewayProcess) apply(c settings.NodeConfig) {
	p.stopTimeout.Store(int64(c.Bounds.StopTimeout()))
	p.members.SetSeeds(c.Peers.Seeds)
	p.gateway.SetRevocationDelay(c.Bounds.RevocationDelay())
}

// reload applies settings that have changed right before a planned stop, without a signal or
// together with it.
func (p *gatewayProcess) reload(load Load) {
	c, err := load()
	if err != nil {
		p.recorder.Record("settings_unreadable", "", events.F("cause", "leaving"), events.F("error", err.Error()))
		return
	}
	p.apply(c)
}

// announce sends periodic hellos to the other gateways until ctx is done.
func (p *gatewayProcess) announce(ctx context.Context) {
	tick := time.NewTicker(peers.HelloInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		p.sendHellos()
		if n%hellosPerAnnouncement == 0 {
			p.retryExchange.Announce()
		}
		p.retryExchange.AnnounceRetries()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// recallRetries finds out what the predecessor of this process has counted for its retry
// budgets.
func (p *gatewayProcess) recallRetries(ctx context.Context) {
	began := time.Now()
	for wait := firstRecallWait; !p.retryExchange.Recall(); wait = min(2*wait, maxRecallWait) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
	p.recorder.Record("retries_recalled", "", events.F("after_ms", time.Since(began).Milliseconds()), events.F("held_ms", p.retries.HeldFor().Milliseconds()))
}

func (p *gatewayProcess) sendHellos() {
	to, hello := p.members.Tick()
	p.gateway.SetGateways(p.members.Count())
	p.setFixedRetries()
	p.sendHello(hello, to...)
}

// sendHello completes a Hello and sends it.
func (p *gatewayProcess) sendHello(hello *peers.Hello, to ...string) {
	hello.Suspicions = p.suspicions.Digest()
	hello.Sequence = p.hellos.Add(1)
	hello.RemembersMS = p.suspicions.Memory().Milliseconds()
	hello.Agents = p.retryExchange.HeardAgents()
	for _, address := range to {
		p.send(address, hello)
	}
}

// setFixedRetries sets this gateway's part of the fixed number of retries.
func (p *gatewayProcess) setFixedRetries() {
	n, known := p.retryExchange.Sharers()
	fleet := p.config.Bounds.RetrySlack * retryShare
	part := fleet / float64(n)
	if !known {
		part = 0
	}
	p.retries.SetFixed(fleet, part)
}

// send sends a datagram. A failure is only counted, because the senders of all
// messages tolerate lost datagrams.
func (p *gatewayProcess) send(address string, m peers.Message) {
	if err := p.trySend(address, m); errors.Is(err, peers.ErrTooLong) {
		p.recorder.Record("datagram_too_long", "", events.F("error", err.Error()))
	}
}

// trySend sends a datagram and counts and returns a failure.
func (p *gatewayProcess) trySend(address string, m peers.Message) error {
	err := p.socket.Send(address, m)
	if err != nil {
		p.metrics.Scope.Counter("datagrams_unsent").Inc(1)
	}
	return err
}

func (p *gatewayProcess) malformed(err error) { p.malformedLog.record(p.metrics, p.recorder, err) }

// malformedInterval is the time between two log lines about malformed datagrams.
const malformedInterval = 10 * time.Second

// malformedLog counts datagrams that can't be decoded or handled, and logs the first one and
// then at most one in malformedInterval: a faulty process may send them without end. It is
// safe for concurrent use.
type malformedLog struct {
	mu      sync.Mutex
	last    time.Time
	skipped int
}

func (l *malformedLog) record(m *metrics.Metrics, recorder *events.Recorder, err error) {
	m.Scope.Counter("datagrams_malformed").Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); !l.last.IsZero() && now.Sub(l.last) < malformedInterval {
		l.skipped++
		return
	}
	recorder.Record("datagram_malformed", "", events.F("error", err.Error()), events.F("skipped", l.skipped))
	l.last, l.skipped = time.Now(), 0
}

func (p *gatewayProcess) receive(m peers.Message) {
	switch m := m.(type) {
	case *peers.Hello:
		if p.members.HandleHello(m) {
			p.sendHello(&peers.Hello{From: p.self()}, m.From.ControlAddress)
		}
		p.suspicions.HandleHello(m)
		p.retryExchange.HandleHello(m)
	case *peers.Suspicions:
		p.suspicions.HandleSuspicions(m)
	case *peers.TrialRequest:
		p.suspicions.HandleTrialRequest(m)
	case *peers.TrialReply:
		p.suspicions.HandleTrialReply(m)
	case *peers.TrialEnd:
		p.suspicions.HandleTrialEnd(m)
	case *peers.RetryRecord:
		p.retryExchange.HandleRecord(m)
	case *peers.RetryQuery:
		p.retryExchange.HandleQuery(m)
	case *peers.ControllerQuery:
		p.retryExchange.HearAgent(m.Address)
		p.send(m.Address, &peers.ControllerReply{Controller: p.members.Controller().ControlAddress, Gateways: p.otherGateways()})
	case *peers.Report:
		p.retryExchange.HearAgent(m.Agent)
		p.control.HandleReport(m)
	case *peers.ExpertCounts:
		p.control.HandleExpertCounts(m)
	case *peers.Group:
		p.members.RecordController(m.Controller)
		p.applyGroup(m)
	}
}

// otherGateways returns the control addresses of the other live gateways.
func (p *gatewayProcess) otherGateways() []string {
	var out []string
	for _, x := range p.members.Alive() {
		if x.ControlAddress != p.config.Listen.Control {
			out = append(out, x.ControlAddress)
		}
	}
	return out
}

// applyGroup applies the controller's rank loads and request limit of a group to
// every service whose servers are in the group.
func (p *gatewayProcess) applyGroup(m *peers.Group) {
	snapshot := p.feed.Snapshot()
	byAddress := map[string]peers.RankLoad{}
	for _, r := range m.Unpack() {
		byAddress[r.Engine.String()] = r
	}
	for service, servers := range snapshot.Servers {
		found := false
		for _, s := range servers {
			if r, ok := byAddress[s.Address]; ok {
				p.gateway.UpdateRankLoad(service, s.ID, r)
				found = true
			}
		}
		if found && m.Limit > 0 {
			p.gateway.SetLimit(service, m.Limit, time.Duration(m.PassMS*float64(time.Millisecond)))
		}
	}
}

// addresses returns the caller addresses of serving gateways in random order.
// Gateways with stale keys are returned only if there is no other.
func (p *gatewayProcess) addresses(fleet.AvailabilityZone) ([]string, time.Duration) {
	var out, stale []string
	for _, x := range p.members.Alive() {
		switch {
		case x.Serving && !x.Stale:
			out = append(out, x.CallerAddress)
		case x.Serving:
			stale = append(stale, x.CallerAddress)
		}
	}
	if len(out) == 0 {
		out = stale
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	const maxAddresses = 64 // callers use at most this many
	lifetime := min(addressLifetime, time.Duration(p.config.Bounds.AddressLifetimeS*float64(time.Second)))
	return out[:min(len(out), maxAddresses)], lifetime
}
