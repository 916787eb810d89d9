package node

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime/debug"
	"strconv"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/logsink"
	"github.com/coltsfootbay/coltsfootbay/internal/metrics"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
	"github.com/coltsfootbay/coltsfootbay/internal/rankagent"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

// RunRankAgent runs the agent beside an engine and logs to w. It returns nil
// when ctx is done.
func RunRankAgent(ctx context.Context, load Load, adapt func(settings.NodeConfig) Adapter, w io.Writer) error {
	defer catchHangups()()
	config, err := load()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryFraction * float64(config.Limits.MemoryMB) * 1e6))
	sink := logsink.New(w)
	defer sink.Close(logFlushTimeout)
	recorder := events.NewRecorder(fleet.ProcessID(config.Name), fleet.NewStartID(), sink)
	processMetrics := metrics.New(map[string]string{"process": config.Name})
	address := net.JoinHostPort(config.IP, strconv.Itoa(config.Listen.FirstFreePort))
	socket, err := peers.Open(address)
	if err != nil {
		return err
	}
	agent := rankagent.New(rankagent.Config{
		Name: config.Name, Address: address, Seeds: config.Peers.Seeds, Engine: adapt(config).Engine(config.Rank.Engine), Recorder: recorder,
		Send: func(to string, message peers.Message) {
			if err := socket.Send(to, message); err != nil {
				processMetrics.Scope.Counter("datagrams_unsent").Inc(1)
			}
		},
	})
	recorder.Record("started", "", events.F("zone", config.Zone), events.F("address", address), events.F("engine", config.Rank.Engine))
	group, running := errgroup.WithContext(ctx)
	servers := []boundedServer{
		{"control", controlServer(address, agent.Handler()), callLimits(config.Limits, agentShare, agentMemoryShare)},
		{"metrics", controlServer(metricsAddress(config), processMetrics.Handler), callLimits(config.Limits, callShare, callMemoryShare)},
	}
	for _, s := range servers {
		group.Go(func() error { return s.serve(processMetrics, recorder) })
	}
	group.Go(func() error { agent.Run(running); return nil })
	group.Go(func() error {
		watchSettings(running, config, load, recorder, func(c settings.NodeConfig) { agent.SetSeeds(c.Peers.Seeds) })
		return nil
	})
	var malformed malformedLog
	group.Go(func() error {
		return socket.Receive(agent.Receive, func(err error) { malformed.record(processMetrics, recorder, err) })
	})
	group.Go(func() error {
		<-running.Done()
		for _, s := range servers {
			// Open calls fail without an answer, which their senders tolerate.
			_ = s.Close()
		}
		return socket.Close()
	})
	err = group.Wait()
	recorder.Record("stopped", "", events.F("error", errorText(err)))
	return errors.Join(err, processMetrics.Close())
}
