// Package feed maintains a process's local copy of the configuration and the
// backend server entries that operators and backend servers publish in the
// platform's store. It lists and watches the store and never writes to it.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/boottime"
	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

const (
	// watchWait is how long one watch call waits for a change. Each response, even
	// an empty one, confirms that the copy is up to date. Caller keys may not be
	// accepted on a copy older than the deployment allows, 5 s. Each call to the
	// store has a cost, which is why the wait is not shorter.
	watchWait = 2400 * time.Millisecond
	// batchPause is the pause after a watch that returned a change. Changes come in
	// bursts, and each call to the store has a cost. Only changes after the first
	// one are delayed.
	batchPause = 500 * time.Millisecond
	// responseTimeout is how long a response may take beyond the wait of the watch.
	// The store usually responds in 4 ms, and in up to 0.3 s when it is slow.
	responseTimeout = 900 * time.Millisecond
	// secondWatchAfter is the time beyond the wait of a watch after which a second one asks
	// on a new connection: a connection may be silent for good while others work. With
	// watchWait it is shorter than the time after which a process must be up to date, 3 s.
	secondWatchAfter = 350 * time.Millisecond
	// secondWatchWait is how long the second watch waits for a change.
	secondWatchWait = time.Millisecond
	// secondReadAfter is the same as secondWatchAfter for a full read.
	secondReadAfter = 1200 * time.Millisecond
	// maxCopyAge bounds the age up to which the copy may get while a watch waits. Keys are
	// accepted up to an age of 4.7 s.
	maxCopyAge = 4100 * time.Millisecond
	// listTimeout bounds a full read of the entries and the configuration.
	listTimeout = 2500 * time.Millisecond
	// minRetryPause and maxRetryPause are the shortest and longest pause after a failed
	// call; the pause doubles with each failure.
	minRetryPause = 60 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// outageAfter is the time without a response after which an outage of the store
	// is assumed. Entries expire after three heartbeats of 1.2 s.
	outageAfter = 2500 * time.Millisecond
)

// ErrCompacted is returned by Source.Watch when the store no longer has the changes
// after the requested revision.
var ErrCompacted = errors.New("the store has compacted the changes after this revision")

// ErrHistoryChanged is returned when responses that belong together come from different
// histories of the store.
var ErrHistoryChanged = errors.New("the store was restored from a copy")

// Item is the value of one key in the store, or the deletion of the key.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
	// Err is set if the item is unreadable; the other fields hold what is readable of it.
	Err error
}

// Position is a point in one history of the store. A store that is restored from an older
// copy begins a new history, in which it assigns the revisions after the copy's a second
// time.
type Position struct {
	// History identifies the history; it is empty if the store does not identify it.
	History  string
	Revision int64
}

// reachableFrom reports whether p is a later point than from, or the same, in the same
// history.
func (p Position) reachableFrom(from Position) bool {
	return p.History == from.History && p.Revision >= from.Revision
}

// Source reads from the store.
type Source interface {
	// Read returns the item of a key and the history that the response comes from.
	Read(ctx context.Context, key string) (item Item, found bool, history string, err error)
	// List returns the items under a key prefix and the store's position. It returns
	// ErrHistoryChanged if its pages come from different histories.
	List(ctx context.Context, prefix string) ([]Item, Position, error)
	// Watch returns the changes under a key prefix after a position and the store's
	// position. It returns no changes if there are none within wait, and ErrCompacted
	// if the store no longer has the changes after that position.
	Watch(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Item, Position, error)
	// Reconnect makes the next call use a new connection. Calls in progress go on.
	Reconnect()
}

// Documents defines the key layout of the store and decodes its values.
type Documents interface {
	ConfigurationKey() string
	ServersPrefix() string
	WatchPrefix() string
	Configuration(value []byte) (*deployment.Configuration, error)
	Server(key string, value []byte) (*deployment.Server, error)
}

// Snapshot is an immutable view of the published configuration and servers at one
// point in time.
type Snapshot struct {
	// Configuration is nil until the first one has been read and confirmed.
	Configuration *deployment.Configuration
	// Servers holds the registered backend servers by service name.
	Servers map[string][]*deployment.Server
}

// Copy is a snapshot with the time at which it was last known to be complete. The two belong
// together: a newer snapshot's time says nothing about an older one.
type Copy struct {
	*Snapshot
	// confirmed is that time by boottime, or -1 if there is none.
	confirmed time.Duration
}

// Age returns the time since the copy was last known to be complete, or 1<<62 ns if it
// never was. A copy that lacks a version of the configuration that was in force before a
// restore of the store is not complete.
func (c Copy) Age() time.Duration {
	if c.confirmed < 0 {
		return 1 << 62
	}
	return boottime.Now() - c.confirmed
}

// Feed maintains the local copy. Its exported methods are safe for concurrent use.
type Feed struct {
	source    Source
	documents Documents
	recorder  *events.Recorder
	current   atomic.Pointer[Copy]
	others    Others
	// The times are in nanoseconds by boottime. responded is the latest time at which the
	// store is known to have responded, -1 before the first read. connectedSince is the
	// time since which the store has responded from connectedHistory without an outage of
	// more than outageAfter.
	responded, connectedSince atomic.Int64
	connectedHistory          atomic.Pointer[string]
	changed                   chan struct{}

	servers       *servers
	configuration *configuration
	disconnected  bool
	// position is that of the last response of the store, and history the number of
	// histories that this process has seen, the current one included.
	position Position
	history  int
	// heard is when the last response of the store arrived, by boottime.
	heard time.Duration
}

// Others tells what other processes know. It is safe for concurrent use.
type Others interface {
	// LongestStoreConnection returns the longest time for which another process has been
	// connected to a history of the store without interruption, 0 if none is known to be
	// connected to it.
	LongestStoreConnection(history string) time.Duration
	// HighestConfiguration returns the highest version of the configuration that another
	// process has in force, 0 if there is none. known is false for as long as another
	// process may not have been heard yet.
	HighestConfiguration() (version int64, known bool)
}

// New returns an empty feed; Run fills it.
func New(source Source, documents Documents, recorder *events.Recorder, others Others) *Feed {
	f := &Feed{
		source: source, documents: documents, recorder: recorder, others: others,
		changed: make(chan struct{}, 1),
		servers: newServers(documents, recorder), configuration: newConfiguration(documents, recorder),
	}
	f.responded.Store(-1)
	f.current.Store(&Copy{Snapshot: &Snapshot{}, confirmed: -1})
	return f
}

// Copy returns the current copy.
func (f *Feed) Copy() Copy { return *f.current.Load() }

// Snapshot returns the current copy without its age.
func (f *Feed) Snapshot() *Snapshot { return f.current.Load().Snapshot }

// Changed returns a channel that receives a value after the snapshot has changed.
func (f *Feed) Changed() <-chan struct{} { return f.changed }

// silence returns the time since the store last responded, or 1<<62 ns if it never did.
func (f *Feed) silence() time.Duration {
	at := f.responded.Load()
	if at < 0 {
		return 1 << 62
	}
	return boottime.Now() - time.Duration(at)
}

// Connection returns the history of the store that this process is connected to, and how
// long the store has responded from it without an outage, 0 if it is currently not
// responding.
func (f *Feed) Connection() (history string, connected time.Duration) {
	if h := f.connectedHistory.Load(); h != nil {
		history = *h
	}
	if f.silence() > outageAfter {
		return history, 0
	}
	return history, boottime.Now() - time.Duration(f.connectedSince.Load())
}

// confirmation records that the store responded with everything it had at the given time. It
// returns the time up to which the copy is known to have been complete: the given one,
// unless an accepted version of the configuration is known to be missing.
func (f *Feed) confirmation(at time.Duration) time.Duration {
	at = max(at, time.Duration(f.responded.Load()))
	f.responded.Store(int64(at))
	if f.configuration.behind(f.others.HighestConfiguration()) {
		return f.current.Load().confirmed
	}
	return at
}

// Run lists and watches the store until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		at, err := f.readAll(ctx)
		if err == nil {
			var followed bool
			if followed, err = f.follow(ctx, at); followed {
				pause = minRetryPause
			}
		}
		switch {
		case errors.Is(err, ErrCompacted):
			f.recorder.Record("store_history_lost", "", events.F("age_ms", f.Copy().Age().Milliseconds()))
		case errors.Is(err, ErrHistoryChanged):
			// observe has logged it.
		default:
			f.logDisconnected(err)
			f.source.Reconnect()
		}
		// All processes lose a restored store at the same moment.
		sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, maxRetryPause)
	}
}

// logDisconnected logs that the store does not respond, once per outage.
func (f *Feed) logDisconnected(err error) {
	if !f.disconnected && err != nil {
		f.recorder.Record("store_lost", "", events.F("error", err.Error()), events.F("age_ms", f.Copy().Age().Milliseconds()))
	}
	f.disconnected = true
}

// logReconnected logs the end of an outage.
func (f *Feed) logReconnected() {
	if f.disconnected {
		f.recorder.Record("store_regained", "", events.F("age_ms", f.Copy().Age().Milliseconds()))
	}
	f.disconnected = false
}

// observe records the position of a response and logs a change of the history.
func (f *Feed) observe(call string, at Position) {
	f.heard = boottime.Now()
	if f.history == 0 {
		f.history = 1
	} else if !at.reachableFrom(f.position) {
		f.history++
		f.recorder.Record("store_history_changed", "", events.F("call", call), events.F("former", f.position.History), events.F("former_revision", f.position.Revision),
			events.F("history", at.History), events.F("revision", at.Revision))
	}
	f.position = at
}

// readAll reads the whole copy from the store and returns the position to watch from.
func (f *Feed) readAll(ctx context.Context) (Position, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := boottime.Now()
	list, err := withSecond(ctx, secondReadAfter, f.source.Reconnect, func(ctx context.Context, _ bool) (r response, err error) {
		r.items, r.at, err = f.source.List(ctx, f.documents.ServersPrefix())
		return r, err
	})
	if err != nil {
		return Position{}, err
	}
	at := list.at
	f.observe("list", at)
	configuration, found, history, err := f.source.Read(ctx, f.documents.ConfigurationKey())
	if err != nil {
		return Position{}, err
	}
	if history != at.History {
		f.observe("read", Position{History: history, Revision: at.Revision})
		return Position{}, ErrHistoryChanged
	}
	outage := f.silence() > outageAfter
	if outage || f.history != f.servers.history {
		f.connectedHistory.Store(&at.History)
		f.connectedSince.Store(int64(asked))
	}
	f.logReconnected()
	f.servers.answered()
	f.servers.replace(list.items, f.history, outage)
	f.servers.expire(f.others.LongestStoreConnection(at.History))
	if found {
		f.configuration.apply(configuration, f.history)
	} else {
		f.configuration.stored = 0
	}
	f.awaitOthers(ctx)
	f.publish(f.confirmation(asked))
	return at, nil
}

// response is what a call to the store returned.
type response struct {
	items []Item
	at    Position
	// asked is when the call began, by boottime.
	asked time.Duration
}

// withSecond makes a call, and a second one on a new connection if there is no response
// within a time; second is true for it. It returns the first response that is no error of
// the connection, or the last error.
func withSecond(ctx context.Context, after time.Duration, reconnect func(), call func(ctx context.Context, second bool) (response, error)) (response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		response
		err error
	}
	results := make(chan result, 2)
	begin := func(second bool) {
		go func() {
			r, err := call(ctx, second)
			results <- result{r, err}
		}()
	}
	begin(false)
	timer := time.NewTimer(after)
	defer timer.Stop()
	for open := 1; ; {
		select {
		case <-timer.C:
			reconnect()
			begin(true)
			open++
		case r := <-results:
			open--
			if r.err == nil || open == 0 || errors.Is(r.err, ErrCompacted) || errors.Is(r.err, ErrHistoryChanged) {
				return r.response, r.err
			}
		}
	}
}

// awaitOthers waits before the first confirmation until other processes have been heard:
// the store may have been restored and this process would not know.
func (f *Feed) awaitOthers(ctx context.Context) {
	const poll = 5 * time.Millisecond
	for ctx.Err() == nil && f.unconfirmed() {
		if _, known := f.others.HighestConfiguration(); known {
			return
		}
		sleep(ctx, poll)
	}
}

// unconfirmed reports whether the copy was never known to be complete.
func (f *Feed) unconfirmed() bool { return f.current.Load().confirmed < 0 }

// follow applies changes until a watch fails or ctx is done. It reports whether any watch
// succeeded.
func (f *Feed) follow(ctx context.Context, at Position) (followed bool, err error) {
	for ctx.Err() == nil {
		next, changed, err := f.watchOnce(ctx, at, f.nextWait())
		if err != nil {
			return followed, err
		}
		at, followed = next, true
		if changed {
			sleep(ctx, batchPause)
		}
	}
	return followed, ctx.Err()
}

// nextWait returns how long the next watch waits. It is short until the copy has been
// confirmed: other processes may say any moment that it is complete. It is shorter than
// usual after a watch that ended late with a change, because such a response confirms the
// copy only up to the time at which it was asked for.
func (f *Feed) nextWait() time.Duration {
	const unconfirmedWatchWait = watchWait / 8
	wait := f.servers.nextWait()
	if f.unconfirmed() {
		return min(wait, unconfirmedWatchWait)
	}
	// The connection may have become silent right after the last response.
	sinceResponse := boottime.Now() - f.heard
	return max(min(wait, maxCopyAge-f.Copy().Age(), watchWait-sinceResponse), minWatchWait)
}

// watchOnce makes one watch call and applies its changes. It returns the position to
// watch from next and whether there were changes, or ErrHistoryChanged if the response
// does not continue from the given position.
func (f *Feed) watchOnce(ctx context.Context, after Position, wait time.Duration) (next Position, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	r, err := withSecond(ctx, wait+secondWatchAfter, f.source.Reconnect, func(ctx context.Context, second bool) (response, error) {
		r, wait := response{asked: boottime.Now()}, wait
		if second {
			wait = secondWatchWait
			f.recorder.Record("store_watch_late", "", events.F("age_ms", f.Copy().Age().Milliseconds()))
		}
		var err error
		r.items, r.at, err = f.source.Watch(ctx, f.documents.WatchPrefix(), after, wait)
		if len(r.items) == 0 && boottime.Now()-r.asked >= wait {
			// The store ended the wait without a change: the copy was complete until then.
			r.asked += wait
		}
		return r, err
	})
	if err != nil {
		return Position{}, false, err
	}
	f.observe("watch", r.at)
	if !r.at.reachableFrom(after) {
		return Position{}, false, ErrHistoryChanged
	}
	f.servers.answered()
	for _, i := range r.items {
		f.applyChange(i)
	}
	unconfirmed := f.unconfirmed()
	confirmed := f.confirmation(r.asked)
	if f.servers.expire(f.others.LongestStoreConnection(r.at.History)) || len(r.items) > 0 || unconfirmed {
		f.publish(confirmed)
	} else {
		f.current.Store(&Copy{Snapshot: f.Snapshot(), confirmed: confirmed})
	}
	return r.at, len(r.items) > 0, nil
}

// applyChange applies one change of the store; keys of other kinds are ignored.
func (f *Feed) applyChange(i Item) {
	switch {
	case i.Err != nil && i.Key == "":
		f.recorder.Record("store_item_unreadable", "", events.F("revision", i.Revision), events.F("error", i.Err.Error()))
	case i.Key == f.documents.ConfigurationKey():
		if !i.Deleted {
			f.configuration.apply(i, f.history)
		}
	case !strings.HasPrefix(i.Key, f.documents.ServersPrefix()):
	case i.Deleted:
		f.servers.remove(i.Key, deleted)
	default:
		f.servers.write(i)
	}
}

// publish replaces the snapshot, which is known to have been complete at a time, and signals
// the change.
func (f *Feed) publish(confirmed time.Duration) {
	s := &Snapshot{Servers: map[string][]*deployment.Server{}}
	if confirmed >= 0 {
		s.Configuration = f.configuration.inForce
	}
	for _, server := range f.servers.newestByAddress() {
		s.Servers[server.Service] = append(s.Servers[server.Service], server)
	}
	f.current.Store(&Copy{Snapshot: s, confirmed: confirmed})
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
