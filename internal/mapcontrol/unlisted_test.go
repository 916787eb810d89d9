package mapcontrol

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/feed"
	"github.com/coltsfootbay/coltsfootbay/internal/peers"
	"github.com/coltsfootbay/coltsfootbay/internal/rankagent"
)

const engineAddress = "192.0.2.1:80"

// oneServer is a store with one engine and a configuration that lists its service as long as
// the version is odd.
type oneServer struct {
	mu      sync.Mutex
	version int64
}

func (s *oneServer) set(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

func (s *oneServer) item() feed.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, _ := json.Marshal(s.version)
	return feed.Item{Key: "config", Value: value, Revision: s.version}
}

func (s *oneServer) Read(context.Context, string) (feed.Item, bool, string, error) {
	return s.item(), true, "", nil
}

func (s *oneServer) List(context.Context, string) ([]feed.Item, feed.Position, error) {
	return []feed.Item{{Key: "servers/e", Revision: 1}}, feed.Position{Revision: s.item().Revision}, nil
}

func (s *oneServer) Watch(ctx context.Context, _ string, after feed.Position, wait time.Duration) ([]feed.Item, feed.Position, error) {
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(time.Millisecond) {
		if i := s.item(); i.Revision > after.Revision {
			return []feed.Item{i}, feed.Position{Revision: i.Revision}, nil
		}
	}
	return nil, after, ctx.Err()
}

func (*oneServer) Reconnect()               {}
func (*oneServer) ConfigurationKey() string { return "config" }
func (*oneServer) ServersPrefix() string    { return "servers/" }
func (*oneServer) WatchPrefix() string      { return "" }

func (*oneServer) Configuration(value []byte) (*deployment.Configuration, error) {
	var version int64
	err := json.Unmarshal(value, &version)
	services := map[string]*deployment.Service{}
	if version%2 == 1 {
		services["m"] = &deployment.Service{Name: "m", Engine: &deployment.Engine{Slots: 4, Step: time.Millisecond, StepsPerPass: 1}}
	}
	return deployment.NewConfiguration(version, deployment.Limits{}, services, nil, nil), err
}

func (*oneServer) Server(string, []byte) (*deployment.Server, error) {
	return &deployment.Server{ID: "e", Service: "m", Address: engineAddress, StartMS: 1}, nil
}

func (*oneServer) LongestStoreConnection(string) time.Duration { return 0 }
func (*oneServer) HighestConfiguration() (int64, bool)         { return 0, true }

// Guards against a group that nobody controls while requests of a service that is no longer
// configured run: its loads and limit grow old, and a pending switch holds it for ever.
func TestGroupOfUnlistedServiceIsControlled(t *testing.T) {
	is := is.New(t)
	store, recorder := &oneServer{version: 1}, events.NewRecorder("gateway", 1, io.Discard)
	f := feed.New(store, store, recorder, store)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	waitFor := func(version int64) {
		for c := f.Snapshot().Configuration; c == nil || c.Version != version; c = f.Snapshot().Configuration {
			time.Sleep(time.Millisecond)
		}
	}
	waitFor(1)
	applied := 0
	newController := func() *Controller {
		return New(Config{
			Feed: f, Recorder: recorder, Metrics: tally.NoopScope, RefusedRecently: func(string) bool { return false },
			Send: func(string, peers.Message) {}, Gateways: func() []string { return nil },
			ControllerAddress: func() string { return "" }, Apply: func(*peers.Group) { applied++ },
			Engine: func(string) rankagent.Engine { return nil },
		})
	}
	report := func(c *Controller, hold int64) *group {
		c.HandleReport(&peers.Report{Group: "g", Size: 1, Epoch: 1, Engine: engineAddress, HoldPass: hold})
		return c.groups["g"]
	}
	c := newController()
	report(c, 0)
	c.round(ctx)
	is.Equal(applied, 1)
	store.set(2)
	waitFor(2)
	report(c, 0).lastBroadcast = time.Time{}
	c.round(ctx)
	is.Equal(applied, 2)

	successor := newController() // does not know the service
	g := report(successor, 7)
	g.size = 2 // the other rank does not report, so the switch is not resolved here
	successor.round(ctx)
	is.True(!g.changing)
	g.heldSince = time.Now().Add(-2 * holdTimeout)
	successor.round(ctx)
	successor.mu.Lock()
	defer successor.mu.Unlock()
	is.True(g.changing || time.Now().Before(g.pausedUntil))
}
