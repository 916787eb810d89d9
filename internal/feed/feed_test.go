package feed

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

// store is an in-memory fake of the platform's store.
type store struct {
	mu        sync.Mutex
	items     map[string]Item
	history   []Item
	revision  int64
	compacted int64 // history up to this revision is compacted
	down      bool
	// restores is the number of restores; each begins a new history.
	restores int
	// connection is the number of the current connection. No response arrives on those up
	// to silent.
	connection, silent int
	// calls counts the calls.
	calls int
}

// Reconnect implements Source.
func (s *store) Reconnect() { s.set(func(s *store) { s.connection++ }) }

// silence makes the current connection silent for good.
func (s *store) silence() { s.set(func(s *store) { s.silent = s.connection }) }

// begin begins a call on the current connection.
func (s *store) begin() (connection int) {
	s.set(func(s *store) { s.calls++; connection = s.connection })
	return connection
}

// respond returns when a response arrives on a connection, or with an error when ctx is done.
func (s *store) respond(ctx context.Context, connection int) error {
	for {
		silent := false
		s.set(func(s *store) { silent = connection <= s.silent })
		if !silent {
			return ctx.Err()
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// position returns the current position. The caller holds mu.
func (s *store) position() Position {
	return Position{History: strconv.Itoa(s.restores), Revision: s.revision}
}

// copy returns a copy of the store's content.
func (s *store) copy() *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &store{items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision, compacted: s.compacted}
}

// restore replaces the content by that of a copy, begins a new history and runs then in
// it before any call is answered.
func (s *store) restore(c *store, then func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.history, s.revision, s.compacted = maps.Clone(c.items), slices.Clone(c.history), c.revision, c.compacted
	s.restores++
	if then != nil {
		then()
	}
}

// fail makes the store refuse all calls for d.
func (s *store) fail(d time.Duration) {
	s.set(func(s *store) { s.down = true })
	time.Sleep(d)
	s.set(func(s *store) { s.down = false })
}

var errDown = errors.New("the store is down")

func newStore() *store { return &store{items: map[string]Item{}, silent: -1} }

func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value)
}

// write writes an item. The caller holds mu.
func (s *store) write(key, value string) {
	s.revision++
	s.items[key] = Item{Key: key, Value: []byte(value), Revision: s.revision}
	s.history = append(s.history, s.items[key])
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) set(f func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *store) Read(ctx context.Context, key string) (Item, bool, string, error) {
	if err := s.respond(ctx, s.begin()); err != nil {
		return Item{}, false, "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Item{}, false, "", errDown
	}
	i, ok := s.items[key]
	return i, ok, s.position().History, nil
}

func (s *store) List(ctx context.Context, prefix string) ([]Item, Position, error) {
	if err := s.respond(ctx, s.begin()); err != nil {
		return nil, Position{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, Position{}, errDown
	}
	var out []Item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, i)
		}
	}
	return out, s.position(), nil
}

func (s *store) Watch(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Item, Position, error) {
	connection, end := s.begin(), time.Now().Add(wait)
	for {
		if err := s.respond(ctx, connection); err != nil {
			return nil, Position{}, err
		}
		changes, at, err := s.since(prefix, after.Revision)
		if err != nil || len(changes) > 0 || time.Now().After(end) || ctx.Err() != nil {
			return changes, at, errors.Join(err, ctx.Err())
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (s *store) since(prefix string, after int64) ([]Item, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, Position{}, errDown
	}
	if after < s.compacted || after > s.revision {
		return nil, Position{}, ErrCompacted
	}
	var out []Item
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			out = append(out, i)
		}
	}
	return out, s.position(), nil
}

// documents decodes the format of the fake store.
type documents struct{}

func (documents) ConfigurationKey() string { return "config" }
func (documents) ServersPrefix() string    { return "servers/" }
func (documents) WatchPrefix() string      { return "" }

func (documents) Configuration(value []byte) (*deployment.Configuration, error) {
	var version int64
	err := json.Unmarshal(value, &version)
	return deployment.NewConfiguration(version, deployment.Limits{}, nil, nil, nil), err
}

func (documents) Server(_ string, value []byte) (*deployment.Server, error) {
	var s deployment.Server
	return &s, json.Unmarshal(value, &s)
}

const (
	serverOld = `{"ID":"old","Service":"m","Address":"192.0.2.1:80","StartMS":1}`
	serverNew = `{"ID":"new","Service":"m","Address":"192.0.2.1:80","StartMS":2}`
	serverTwo = `{"ID":"two","Service":"m","Address":"192.0.2.2:80","StartMS":1}`
)

// others is what other processes know, in tests.
type others struct {
	connectedFor  func(history string) time.Duration
	configuration func() (int64, bool)
}

func (o others) LongestStoreConnection(history string) time.Duration {
	if o.connectedFor == nil {
		return 0
	}
	return o.connectedFor(history)
}

func (o others) HighestConfiguration() (int64, bool) {
	if o.configuration == nil {
		return 0, true
	}
	return o.configuration()
}

// alone is a process without others.
var alone = others{}

func connectedFor(f *Feed) time.Duration {
	_, connected := f.Connection()
	return connected
}

func start(t *testing.T, s Source, o Others) *Feed {
	t.Helper()
	f := New(s, documents{}, events.NewRecorder("test", 1, io.Discard), o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

func serverIDs(f *Feed) string {
	var out []string
	for _, s := range f.Snapshot().Servers["m"] {
		out = append(out, s.ID)
	}
	if len(out) == 2 && out[0] > out[1] {
		out[0], out[1] = out[1], out[0]
	}
	return strings.Join(out, ",")
}

// eventually fails the test unless a condition holds within the given time.
func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", within, what)
}

// Guards against requests to the previous server of an address. Its entry stays in the
// store for seconds, and each such request was refused and sent again: 710 times in
// 10 s after all machines had lost power.
func TestNewestServerOfAnAddressIsUsed(t *testing.T) {
	s := newStore()
	s.put("servers/old", serverOld)
	s.put("servers/new", serverNew)
	s.put("servers/two", serverTwo)
	f := start(t, s, alone)
	eventually(t, time.Second, "the two newest servers", func() bool { return serverIDs(f) == "new,two" })
}

// Guards against removing every server whose entry expired during an outage of the
// store, and against keeping servers that do not register again in time.
func TestServersAreKeptForGracePeriodAfterOutage(t *testing.T) {
	is := is.New(t)
	s := newStore()
	s.put("servers/new", serverNew)
	s.put("servers/two", serverTwo)
	f := start(t, s, alone)
	eventually(t, time.Second, "both servers", func() bool { return serverIDs(f) == "new,two" })
	s.set(func(s *store) { s.down = true })
	time.Sleep(outageAfter + 300*time.Millisecond)
	s.remove("servers/new")
	s.remove("servers/two")
	s.set(func(s *store) { s.compacted = s.revision; s.down = false })
	eventually(t, 2*time.Second, "the store responds again", func() bool { return f.Copy().Age() < time.Second })
	is.Equal(serverIDs(f), "new,two")
	s.put("servers/two", serverTwo)
	eventually(t, missingGracePeriod+2*time.Second, "only the server that registered again", func() bool { return serverIDs(f) == "two" })
}

// Guards against requests to a server that deregistered while only this process was
// disconnected from the store. The server was kept as if the store had been down, and
// received a request 2.26 s after it deregistered. A process that was connected
// throughout proves that the store was available; one that has only just connected
// proves nothing.
func TestServerDeregisteredDuringLocalDisconnectIsRemoved(t *testing.T) {
	for name, x := range map[string]struct {
		connectedFor time.Duration
		kept         bool
	}{
		"connected throughout":   {time.Minute, false},
		"connected for a moment": {missingGracePeriod / 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStore()
			s.put("servers/new", serverNew)
			s.put("servers/two", serverTwo)
			f := start(t, s, others{connectedFor: func(string) time.Duration { return x.connectedFor }})
			eventually(t, time.Second, "both servers", func() bool { return serverIDs(f) == "new,two" })
			s.set(func(s *store) { s.down = true })
			time.Sleep(outageAfter + 300*time.Millisecond)
			s.remove("servers/two")
			s.set(func(s *store) { s.compacted = s.revision; s.down = false })
			eventually(t, 2*time.Second, "the store responds", func() bool { return f.Copy().Age() < time.Second })
			is.Equal(serverIDs(f) == "new,two", x.kept)
		})
	}
}

// Guards against a connection time that spans an outage, and against reporting a
// connection while the store does not respond.
func TestConnectedForRestartsAfterOutage(t *testing.T) {
	is := is.New(t)
	s := newStore()
	s.put("config", "1")
	f := start(t, s, alone)
	eventually(t, time.Second, "a connection", func() bool { return connectedFor(f) > 0 })
	s.set(func(s *store) { s.down = true })
	time.Sleep(outageAfter + 200*time.Millisecond)
	is.Equal(connectedFor(f), time.Duration(0))
	s.set(func(s *store) { s.down = false })
	eventually(t, 2*time.Second, "a connection after the outage", func() bool { return connectedFor(f) > 0 })
	is.True(connectedFor(f) < 2*time.Second)
}

// Guards against a configuration that reverts to an older version that is read later,
// and against missing a change whose history was compacted.
func TestConfigurationNeverReverts(t *testing.T) {
	is := is.New(t)
	s := newStore()
	s.put("config", "5")
	f := start(t, s, alone)
	version := func() int64 {
		if c := f.Snapshot().Configuration; c != nil {
			return c.Version
		}
		return 0
	}
	eventually(t, time.Second, "version 5", func() bool { return version() == 5 })
	s.put("config", "4")
	s.put("servers/two", serverTwo)
	eventually(t, time.Second, "the later change", func() bool { return serverIDs(f) == "two" })
	is.Equal(version(), int64(5))
	s.put("config", "9")
	s.set(func(s *store) { s.compacted = s.revision })
	eventually(t, 2*time.Second, "version 9", func() bool { return version() == 9 })
}

// Guards against store entries of other writers that are taken for servers or hide
// servers.
func TestEntriesOfOtherWritersAreIgnored(t *testing.T) {
	is := is.New(t)
	s := newStore()
	s.put("servers/two", serverTwo)
	f := start(t, s, alone)
	eventually(t, time.Second, "the server", func() bool { return serverIDs(f) == "two" })
	s.put("servers/x", `\xff not readable`)
	s.put("other/key", "1")
	s.put("config", "2")
	eventually(t, time.Second, "the configuration", func() bool { return f.Snapshot().Configuration != nil })
	is.Equal(serverIDs(f), "two")
}

// Guards against accepting keys on an outdated copy: the age must not shrink while the
// store is down.
func TestAgeGrowsDuringOutage(t *testing.T) {
	is := is.New(t)
	s := newStore()
	s.put("config", "1")
	f := start(t, s, alone)
	eventually(t, time.Second, "the configuration", func() bool { return f.Snapshot().Configuration != nil })
	s.set(func(s *store) { s.down = true })
	began := time.Now()
	time.Sleep(1500 * time.Millisecond)
	is.True(f.Copy().Age() > time.Since(began)-watchWait)
}
