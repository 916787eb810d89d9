// Package feed keeps a process's copy of what operators and backend servers
// publish in the platform's store. It reads and watches; it never writes.
package feed

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

const (
	// watchWait is how long one watch waits for a change. Each answer, empty ones
	// included, proves that the copy is up to date; keys of callers may not be
	// used on a copy that is older than the deployment allows, 5 s. Each call has a
	// price.
	watchWait = 2400 * time.Millisecond
	// batchPause is the pause after a watch that brought a change. Changes come in
	// series, and each call has a price. It delays a second change only.
	batchPause = 500 * time.Millisecond
	// answerTimeout is how long an answer may take beyond the watch's wait. The
	// store's usual answer takes 4 ms, a slow one up to 0.3 s.
	answerTimeout = 900 * time.Millisecond
	// listTimeout bounds the reading of everything.
	listTimeout = 2500 * time.Millisecond
	// firstPause and lastPause bound the pause after a failed call.
	firstPause = 60 * time.Millisecond
	lastPause  = 500 * time.Millisecond
	// returnGrace is how long after the store's return servers that are missing are
	// kept: entries that lapsed meanwhile are back within about 2 s.
	returnGrace = 2300 * time.Millisecond
	// awayAfter is the time without an answer from which the store may have been
	// away. Entries lapse after three heartbeats of 1.2 s.
	awayAfter = 2500 * time.Millisecond
)

// ErrCompacted tells that the store no longer has the changes after a revision.
var ErrCompacted = errors.New("the store has dropped the changes after this revision")

// Item is one key of the store, or its deletion.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Source is the store.
type Source interface {
	// Read returns the item of a key.
	Read(ctx context.Context, key string) (item Item, found bool, err error)
	// List returns the items below a prefix and the store's revision.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch returns the changes below a prefix after a revision, or none after
	// wait. It returns ErrCompacted if the store no longer has them.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
}

// Documents knows the keys and formats of the store.
type Documents interface {
	ConfigurationKey() string
	ServersPrefix() string
	WatchPrefix() string
	Configuration(value []byte) (*deployment.Configuration, error)
	Server(key string, value []byte) (*deployment.Server, error)
}

// Snapshot is what was published as of one moment. It is not changed.
type Snapshot struct {
	// Configuration is nil until one was read.
	Configuration *deployment.Configuration
	// Servers holds the present backend servers by service.
	Servers map[string][]*deployment.Server
}

// Feed is the copy. It is safe for concurrent use.
type Feed struct {
	source    Source
	documents Documents
	recorder  *events.Recorder
	snapshot  atomic.Pointer[Snapshot]
	// confirmed is the latest moment, in nanoseconds since start, as of which
	// the copy is known to be complete, and contact the moment since which the store
	// has answered without a longer break.
	confirmed, contact atomic.Int64
	start              time.Time
	// others returns for how long other processes have had contact to the store.
	others  func() time.Duration
	changed chan struct{}

	servers       map[string]*deployment.Server
	configuration *deployment.Configuration
	// missing holds since when this process knows that servers are missing which
	// may have lapsed while the store was away.
	missing map[string]time.Time
	away    bool
}

// New returns a feed without content; Run fills it. others returns the longest time
// for which another process has had contact to the store without a break, 0 if none
// is known to have any.
func New(source Source, documents Documents, recorder *events.Recorder, others func() time.Duration) *Feed {
	f := &Feed{
		source: source, documents: documents, recorder: recorder, start: time.Now(), others: others,
		changed: make(chan struct{}, 1),
		servers: map[string]*deployment.Server{}, missing: map[string]time.Time{},
	}
	f.confirmed.Store(-1)
	f.snapshot.Store(&Snapshot{})
	return f
}

// Snapshot returns the present copy.
func (f *Feed) Snapshot() *Snapshot { return f.snapshot.Load() }

// Changed gets a value after the snapshot changed.
func (f *Feed) Changed() <-chan struct{} { return f.changed }

// Age returns how long ago the copy was known to be complete. It is very large
// before the first reading.
func (f *Feed) Age() time.Duration {
	at := f.confirmed.Load()
	if at < 0 {
		return 1 << 62
	}
	return time.Since(f.start) - time.Duration(at)
}

// ConnectedFor returns for how long the store has answered this process without a break,
// 0 if it does not answer now.
func (f *Feed) ConnectedFor() time.Duration {
	if f.Age() > awayAfter {
		return 0
	}
	return time.Since(f.start) - time.Duration(f.contact.Load())
}

func (f *Feed) confirm(at time.Time) {
	n := at.Sub(f.start).Nanoseconds()
	if n > f.confirmed.Load() {
		f.confirmed.Store(n)
	}
}

// Run reads and watches until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		revision, err := f.readAll(ctx)
		if err == nil {
			pause = firstPause
			err = f.follow(ctx, revision)
		}
		if errors.Is(err, ErrCompacted) {
			f.recorder.Record("store_history_lost", "", events.F("age_ms", f.Age().Milliseconds()))
			continue
		}
		f.lost(err)
		sleep(ctx, pause)
		pause = min(2*pause, lastPause)
	}
}

// lost notes that the store does not answer, once per outage.
func (f *Feed) lost(err error) {
	if !f.away && err != nil {
		f.recorder.Record("store_lost", "", events.F("error", err.Error()), events.F("age_ms", f.Age().Milliseconds()))
	}
	f.away = true
}

func (f *Feed) regained() {
	if f.away {
		f.recorder.Record("store_regained", "", events.F("age_ms", f.Age().Milliseconds()))
	}
	f.away = false
}

// readAll replaces the copy and returns the revision to watch from.
func (f *Feed) readAll(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := time.Now()
	items, revision, err := f.source.List(ctx, f.documents.ServersPrefix())
	if err != nil {
		return 0, err
	}
	configuration, found, err := f.source.Read(ctx, f.documents.ConfigurationKey())
	if err != nil {
		return 0, err
	}
	silent := f.Age() > awayAfter
	if silent {
		f.contact.Store(asked.Sub(f.start).Nanoseconds())
	}
	f.regained()
	f.replaceServers(items, silent)
	if found {
		f.takeConfiguration(configuration)
	}
	f.confirm(asked)
	f.publish()
	return revision, nil
}

// replaceServers takes a full listing. If the store was silent, servers that it
// lacks may have lapsed meanwhile, and dropMissing decides about them.
func (f *Feed) replaceServers(items []Item, silent bool) {
	present := make(map[string]bool, len(items))
	for _, i := range items {
		present[i.Key] = true
		f.takeServer(i)
	}
	now := time.Now()
	for key := range f.servers {
		_, waits := f.missing[key]
		switch {
		case present[key] || waits:
		case silent:
			f.missing[key] = now
		default:
			f.dropServer(key, "unlisted")
		}
	}
	f.dropMissing()
}

// follow takes changes until a watch fails.
func (f *Feed) follow(ctx context.Context, revision int64) error {
	for ctx.Err() == nil {
		next, changed, err := f.watchOnce(ctx, revision, f.nextWait())
		if err != nil {
			return err
		}
		revision = next
		if changed {
			sleep(ctx, batchPause)
		}
	}
	return ctx.Err()
}

// nextWait returns how long the next watch waits: not beyond the moment at which a
// missing server is given up, and shorter while others may yet tell that the store
// was not away.
func (f *Feed) nextWait() time.Duration {
	// missingWait and shortestWait bound the price of these watches.
	const missingWait, shortestWait = watchWait / 4, 100 * time.Millisecond
	if len(f.missing) == 0 {
		return watchWait
	}
	wait := missingWait
	for _, since := range f.missing {
		wait = min(wait, time.Until(since.Add(returnGrace)))
	}
	return max(wait, shortestWait)
}

func (f *Feed) watchOnce(ctx context.Context, revision int64, wait time.Duration) (next int64, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	asked := time.Now()
	changes, next, err := f.source.Watch(ctx, f.documents.WatchPrefix(), revision, wait)
	if err != nil {
		return 0, false, err
	}
	for _, i := range changes {
		f.take(i)
	}
	if len(changes) == 0 && time.Since(asked) >= wait {
		// Nothing changed until the store ended the wait.
		asked = asked.Add(wait)
	}
	f.confirm(asked)
	if f.dropMissing() || len(changes) > 0 {
		f.publish()
	}
	return max(next, revision), len(changes) > 0, nil
}

func (f *Feed) take(i Item) {
	switch {
	case i.Key == f.documents.ConfigurationKey():
		if !i.Deleted {
			f.takeConfiguration(i)
		}
	case !strings.HasPrefix(i.Key, f.documents.ServersPrefix()):
	case i.Deleted:
		f.dropServer(i.Key, "deleted")
	default:
		f.takeServer(i)
	}
}

func (f *Feed) takeConfiguration(i Item) {
	c, err := f.documents.Configuration(i.Value)
	if err != nil {
		f.recorder.Record("configuration_unreadable", "", events.F("revision", i.Revision), events.F("error", err.Error()))
		return
	}
	if f.configuration != nil && c.Version <= f.configuration.Version {
		return
	}
	f.configuration = c
	f.recorder.Record("configuration_taken", "", events.F("version", c.Version), events.F("revision", i.Revision))
}

func (f *Feed) takeServer(i Item) {
	s, err := f.documents.Server(i.Key, i.Value)
	if err != nil {
		f.recorder.Record("server_entry_unreadable", "", events.F("revision", i.Revision), events.F("error", err.Error()))
		return
	}
	old := f.servers[i.Key]
	f.servers[i.Key] = s
	delete(f.missing, i.Key)
	if old == nil || old.Leaving != s.Leaving || old.StartMS != s.StartMS || old.Address != s.Address {
		f.recorder.Record("server_seen", "", events.F("server", s.ID), events.F("service", s.Service), events.F("address", s.Address),
			events.F("zone", string(s.Zone)), events.F("leaving", s.Leaving), events.F("revision", i.Revision))
	}
}

func (f *Feed) dropServer(key, reason string) {
	if s := f.servers[key]; s != nil {
		f.recorder.Record("server_gone", "", events.F("server", s.ID), events.F("reason", reason))
	}
	delete(f.servers, key)
	delete(f.missing, key)
}

// dropMissing gives up the missing servers that had time to come back, and reports
// whether there was one. That time counts from the store's return as any process saw
// it: where another one had contact all the while, only the way of this one was cut,
// and what is missing has left.
func (f *Feed) dropMissing() bool {
	now, others, dropped := time.Now(), f.others(), false
	for key, since := range f.missing {
		if max(now.Sub(since), others) >= returnGrace {
			f.dropServer(key, "not back since the store answers")
			dropped = true
		}
	}
	return dropped
}

func (f *Feed) publish() {
	s := &Snapshot{Configuration: f.configuration, Servers: map[string][]*deployment.Server{}}
	for _, server := range newestByAddress(f.servers) {
		s.Servers[server.Service] = append(s.Servers[server.Service], server)
	}
	f.snapshot.Store(s)
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// newestByAddress drops the servers whose address has been taken over: their
// entries stay for some seconds after their end, and every request that is sent
// there for them is refused by the newer server.
func newestByAddress(servers map[string]*deployment.Server) map[string]*deployment.Server {
	newest := make(map[string]*deployment.Server, len(servers))
	for _, s := range servers {
		if other := newest[s.Address]; other == nil || s.StartMS > other.StartMS {
			newest[s.Address] = s
		}
	}
	return newest
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
