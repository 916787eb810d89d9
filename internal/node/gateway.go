package node

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
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
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

const (
	// headerTimeout bounds the time for a request's headers; the deployments'
	// configuration allows 3 s.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a caller's idle connection is kept. Callers use
	// connections again that were idle for four fifths of the configured limit.
	idleTimeout = 90 * time.Second
	// headerBytes bounds the headers of a request.
	headerBytes = 64 << 10
	// addressLifetime is how long callers keep an address answer; a gateway that
	// stops is left within three times as long.
	addressLifetime = 1500 * time.Millisecond
	// leaveNotice is how long a stopping gateway goes on accepting callers that
	// have an old address answer.
	leaveNotice = 4500 * time.Millisecond
	// stopReserve is kept of the time until SIGKILL.
	stopReserve = 700 * time.Millisecond
	// memoryShare is the part of the machine's limit that the Go runtime aims at.
	memoryShare = 0.7
	// metricsPortOffset is added to the first free port.
	metricsPortOffset = 10
	// logFlush bounds the writing of the last log lines.
	logFlush = 300 * time.Millisecond
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
	control  *mapcontrol.Controller
	callers  *http.Server
}

// RunGateway runs a gateway and logs to w. It returns nil after a graceful
// shutdown, which begins when ctx is done.
func RunGateway(ctx context.Context, load Load, adapt func(settings.NodeConfig) Adapter, w io.Writer) error {
	c, err := load()
	if err != nil {
		return err
	}
	sink := logsink.New(w)
	defer sink.Close(logFlush)
	p, err := provisionGateway(c, adapt(c), sink)
	if err != nil {
		return err
	}
	p.recorder.Record("started", "", events.F("zone", c.Zone), events.F("callers", c.Listen.Callers), events.F("control", c.Listen.Control))
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

func provisionGateway(c settings.NodeConfig, a Adapter, w io.Writer) (*gatewayProcess, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(c.Limits.MemoryMB) * 1e6))
	p := &gatewayProcess{config: c, adapter: a, start: fleet.NewStartID()}
	p.recorder = events.NewRecorder(fleet.ProcessID(c.Name), p.start, w)
	p.metrics = metrics.New(map[string]string{"process": c.Name})
	p.feed = feed.New(a.Source, a.Documents, p.recorder, func() time.Duration { return p.members.LongestStoreConnection() })
	p.gateway = gateway.New(gateway.Config{
		Zone: fleet.AvailabilityZone(c.Zone), Feed: p.feed, Headers: a.Headers, Recorder: p.recorder,
		Metrics: gateway.NewMetrics(p.metrics.Scope), RevocationDelay: c.Bounds.RevocationDelay(),
		RetryRatio: c.Bounds.RetryRatio, RetrySlack: c.Bounds.RetrySlack,
		RetryWindow: time.Duration(c.Bounds.RetryWindowS * float64(time.Second)),
		MemoryBytes: int64(c.Limits.MemoryMB) * 1e6,
	})
	p.members = peers.NewMembers(p.self, c.Peers.Seeds, p.recorder)
	socket, err := peers.Open(c.Listen.Control)
	if err != nil {
		return nil, err
	}
	p.socket = socket
	p.control = mapcontrol.New(mapcontrol.Config{
		Self: c.Listen.Control, Feed: p.feed, Recorder: p.recorder, Metrics: p.metrics.Scope, Engine: a.Engine,
		IsController:      func() bool { return p.members.Controller().ControlAddress == c.Listen.Control },
		ControllerAddress: func() string { return p.members.Controller().ControlAddress },
		RefusedRecently:   p.gateway.RefusedRecently,
		Send:              p.send,
		Gateways:          p.controls,
		Apply:             p.applyGroup,
	})
	return p, nil
}

// self describes this gateway to others.
func (p *gatewayProcess) self() peers.Peer {
	return peers.Peer{
		Name: p.config.Name, Start: p.start, ControlAddress: p.config.Listen.Control, CallerAddress: p.config.Listen.Callers,
		Zone: fleet.AvailabilityZone(p.config.Zone), Serving: p.gateway.Ready(),
		Stale: !p.gateway.KeysUsable(), Processor: p.config.Limits.Processor,
		StoreConnectedMS: p.feed.ConnectedFor().Milliseconds(),
	}
}

// run serves until the process has left or a part fails. The parts outlive ctx,
// because a leaving process still serves.
func (p *gatewayProcess) run(ctx context.Context, load Load) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { p.feed.Run(running); return nil })
	group.Go(func() error { p.gateway.Run(running); return nil })
	group.Go(func() error { p.control.Run(running); return nil })
	group.Go(func() error { p.greet(running); return nil })
	group.Go(func() error {
		watchSettings(running, p.config, load, p.recorder, p.apply)
		return nil
	})
	group.Go(func() error { return p.socket.Receive(p.receive, p.malformed) })
	p.callers = &http.Server{
		Handler: p.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: errorLog(p.recorder),
	}
	servers := []*http.Server{
		p.callers,
		{Addr: p.config.Listen.Directory, Handler: p.adapter.Directory(p.addresses), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
		{Addr: p.config.Listen.Ready, Handler: p.adapter.Ready(p.gateway.Ready), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
		{Addr: metricsAddress(p.config), Handler: p.metrics.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
	}
	p.callers.Addr = p.config.Listen.Callers
	for _, s := range servers {
		group.Go(func() error { return serve(s) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			p.leave()
		case <-running.Done():
		}
		stop()
		for _, s := range servers {
			// What is still open has had its time.
			_ = s.Close()
		}
		return p.socket.Close()
	})
	return group.Wait()
}

func metricsAddress(c settings.NodeConfig) string {
	return net.JoinHostPort(c.IP, strconv.Itoa(c.Listen.FirstFreePort+metricsPortOffset))
}

func serve(s *http.Server) error {
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// leave stops serving without cutting a request off: others learn first, then
// callers come to an end, and at last the listener is closed.
func (p *gatewayProcess) leave() {
	began := time.Now()
	deadline := began.Add(p.config.Bounds.StopTimeout() - stopReserve)
	p.gateway.StartDrain()
	p.recorder.Record("leaving", "", events.F("until_ms", time.Until(deadline).Milliseconds()))
	p.greetAll()
	time.Sleep(min(leaveNotice, time.Until(deadline)/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := p.callers.Shutdown(ctx); err != nil {
		p.recorder.Record("leaving_cut_short", "", events.F("error", err.Error()))
	}
}

// apply takes changed settings. Addresses and limits of the machine hold until
// the next start.
func (p *gatewayProcess) apply(c settings.NodeConfig) {
	p.members.SetSeeds(c.Peers.Seeds)
	p.gateway.SetRevocationDelay(c.Bounds.RevocationDelay())
}

// greet tells other gateways about this one until ctx is done.
func (p *gatewayProcess) greet(ctx context.Context) {
	tick := time.NewTicker(peers.HelloInterval)
	defer tick.Stop()
	for {
		p.greetAll()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (p *gatewayProcess) greetAll() {
	to, hello := p.members.Tick()
	p.gateway.SetGateways(p.members.Count())
	for _, address := range to {
		p.send(address, hello)
	}
}

// send sends a datagram. A failure is like a loss on the way, which the sender
// of each message allows for, so it is only counted.
func (p *gatewayProcess) send(address string, m peers.Message) {
	if err := p.socket.Send(address, m); err != nil {
		p.metrics.Scope.Counter("datagrams_unsent").Inc(1)
		if errors.Is(err, peers.ErrTooLong) {
			p.recorder.Record("datagram_too_long", "", events.F("error", err.Error()))
		}
	}
}

func (p *gatewayProcess) malformed(err error) { noteMalformed(p.metrics, p.recorder, err) }

// noteMalformed counts and logs a datagram that can't be read or handled.
func noteMalformed(m *metrics.Metrics, recorder *events.Recorder, err error) {
	m.Scope.Counter("datagrams_malformed").Inc(1)
	recorder.Record("datagram_malformed", "", events.F("error", err.Error()))
}

func (p *gatewayProcess) receive(m peers.Message) {
	switch m := m.(type) {
	case *peers.Hello:
		p.members.HandleHello(m)
	case *peers.ControllerQuery:
		p.send(m.Address, &peers.ControllerReply{Controller: p.members.Controller().ControlAddress, Gateways: p.controls()})
	case *peers.Report:
		p.control.HandleReport(m)
	case *peers.ExpertCounts:
		p.control.HandleExpertCounts(m)
	case *peers.Group:
		p.members.RecordController(m.Controller)
		p.applyGroup(m)
	}
}

// controls returns the control addresses of the other gateways.
func (p *gatewayProcess) controls() []string {
	var out []string
	for _, x := range p.members.Alive() {
		if x.ControlAddress != p.config.Listen.Control {
			out = append(out, x.ControlAddress)
		}
	}
	return out
}

// applyGroup takes what the controller says about a group.
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

// addresses returns the gateways that serve, in random order. Stale ones are
// named only when there is no other.
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
	const mostAddresses = 64 // callers take no more
	lifetime := min(addressLifetime, time.Duration(p.config.Bounds.AddressLifetimeS*float64(time.Second)))
	return out[:min(len(out), mostAddresses)], lifetime
}
