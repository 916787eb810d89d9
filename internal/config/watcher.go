package config

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// idleInterval is how often a process that is not reading from the platform
	// checks whether it should.
	idleInterval = 250 * time.Millisecond
	// vmInterval is the time between a reader's requests for the VM list.
	vmInterval = time.Second
	// maxPlatformAge is the platform age above which a process polls the platform
	// although it is not a reader.
	maxPlatformAge = 2 * time.Second
	// initialBackoff is the first retry delay after a failed call.
	initialBackoff = 250 * time.Millisecond
	// minWatchInterval limits the call rate to a platform that answers watches
	// immediately.
	minWatchInterval = 50 * time.Millisecond
	// maxReaderBackoff can be short because there are only two readers per zone.
	maxReaderBackoff = time.Second
	// maxPollBackoff limits the calls of 380 processes to 38 per second.
	maxPollBackoff = 10 * time.Second
)

// WatcherConfig holds the settings and dependencies of a Watcher.
type WatcherConfig struct {
	// URL is the platform's base URL.
	URL   string
	Store *Store
	// IsReader reports whether this process is one of its zone's readers. It is
	// called from two goroutines.
	IsReader func() bool
	Recorder *events.Recorder
	// Push sends new documents to peers; it may be nil.
	Push func([]wire.Document)
	// Offer announces new documents of a listing that are too large for Push to
	// peers; it may be nil.
	Offer func([]wire.DocumentOffer)
}

// Watcher keeps a Store up to date with the platform's documents and VM list. Only a
// zone's readers do so continuously; other processes poll when they know of no recent
// response from the platform.
type Watcher struct {
	WatcherConfig
	platform *platformClient

	// after is the highest revision in the platform's responses of its history.
	// listingDone reports whether a full listing of that history was merged since the
	// process became a reader. Only the document loop uses them.
	after, history uint64
	listingDone    bool

	// unreadableDocuments and unreadableVMs are the numbers that were last logged.
	unreadableDocuments, unreadableVMs atomic.Int64

	mu    sync.Mutex
	state platformState
	stale bool
}

// platformState is the result of the most recent call to the platform.
type platformState int

const (
	platformUnknown platformState = iota
	platformUp
	platformDown
)

// NewWatcher returns a watcher; Run starts it.
func NewWatcher(c WatcherConfig) *Watcher {
	return &Watcher{WatcherConfig: c, platform: newPlatformClient(c.URL)}
}

// Run reads from the platform until ctx is done and then returns nil. Failed calls
// are retried; changes between failure and success are recorded as events.
func (w *Watcher) Run(ctx context.Context) error {
	defer w.platform.close()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.followDocuments(ctx) })
	group.Go(func() error { return w.followVMs(ctx) })
	return group.Wait()
}

// followDocuments reads documents while this process is a reader, or while it must
// poll because it knows of no recent response from the platform.
func (w *Watcher) followDocuments(ctx context.Context) error {
	var retry backoff
	wasReader := false
	for ctx.Err() == nil {
		reader := w.IsReader()
		if reader && !wasReader {
			w.listingDone = false
		}
		wasReader = reader
		if !reader && !w.shouldPoll() {
			sleep(ctx, idleInterval)
			continue
		}
		if err := w.readDocuments(ctx, reader); err != nil {
			sleep(ctx, retry.next(maxBackoff(reader)))
			continue
		}
		retry.reset()
	}
	return nil
}

func (w *Watcher) shouldPoll() bool { return w.Store.PlatformAge() > maxPlatformAge }

// maxBackoff returns the longest retry delay for a reader or another process.
func maxBackoff(reader bool) time.Duration {
	if reader {
		return maxReaderBackoff
	}
	return maxPollBackoff
}

// readDocuments requests documents once: a full listing first, changes afterwards. A
// process that is not a reader also requests the VM list, and its watch returns
// without waiting for a change.
func (w *Watcher) readDocuments(ctx context.Context, reader bool) error {
	wait := watchWait
	if !reader {
		wait = 0
	}
	call := func() error { return w.readChanges(ctx, wait) }
	if !w.listingDone {
		call = func() error { return w.readListing(ctx) }
	}
	if err := call(); err != nil || reader {
		return err
	}
	return w.readVMs(ctx)
}

func (w *Watcher) readListing(ctx context.Context) error {
	seen := w.Store.Revision()
	a, err := w.platform.list(ctx)
	if w.recordResult(ctx, err) != nil {
		return err
	}
	w.recordRevision(seen, &a)
	w.recordUnreadable(&w.unreadableDocuments, "documents", a.unreadable)
	w.listingDone = true
	fresh, offers := w.Store.MergeListing(a.all(), a.position(), a.HistoryStart)
	w.push(fresh)
	if w.Offer != nil && len(offers) > 0 {
		w.Offer(offers)
	}
	return nil
}

func (w *Watcher) readChanges(ctx context.Context, wait time.Duration) error {
	seen := w.Store.Revision()
	a, err := w.platform.watch(ctx, w.after, wait)
	if w.recordResult(ctx, err) != nil {
		return err
	}
	w.recordRevision(seen, &a)
	w.push(w.Store.Merge(slices.Collect(a.all()), a.position()))
	sleep(ctx, minWatchInterval)
	return nil
}

// recordRevision advances the revision to watch from. A response of another history than
// the one before makes a full listing necessary. It records an event then, and at the start
// of each period in which the platform answers with a lower revision than this process had
// before the call.
func (w *Watcher) recordRevision(seen uint64, a *documentsResponse) {
	if w.history != a.History {
		if w.after > 0 {
			w.Recorder.Record("config.history_changed", "", events.F("former", w.history), events.F("former_revision", w.after),
				events.F("history", a.History), events.F("revision", a.Revision), events.F("start", a.HistoryStart))
		}
		w.after, w.history, w.listingDone = 0, a.History, false
	}
	w.after = max(w.after, a.Revision)
	revision := a.position()
	w.mu.Lock()
	began := revision < seen && !w.stale
	w.stale = revision < seen
	w.mu.Unlock()
	if began {
		w.Recorder.Record("config.platform_stale", "", events.F("revision", revision), events.F("seen", seen))
	}
}

// recordUnreadable records an event when the number of unreadable elements of a list
// changes.
func (w *Watcher) recordUnreadable(logged *atomic.Int64, list string, n int) {
	if logged.Swap(int64(n)) != int64(n) {
		w.Recorder.Record("config.unreadable", "", events.F("list", list), events.F("elements", n))
	}
}

func (w *Watcher) push(fresh []wire.Document) {
	if w.Push != nil && len(fresh) > 0 {
		w.Push(fresh)
	}
}

// followVMs reads the VM list while this process is a reader.
func (w *Watcher) followVMs(ctx context.Context) error {
	var retry backoff
	for ctx.Err() == nil {
		switch {
		case !w.IsReader():
			retry.reset()
			sleep(ctx, idleInterval)
		case w.readVMs(ctx) != nil:
			sleep(ctx, retry.next(maxReaderBackoff))
		default:
			retry.reset()
			sleep(ctx, vmInterval)
		}
	}
	return nil
}

func (w *Watcher) readVMs(ctx context.Context) error {
	d, unreadable, err := w.platform.vmList(ctx)
	if w.recordResult(ctx, err) != nil {
		return err
	}
	w.recordUnreadable(&w.unreadableVMs, "vms", unreadable)
	w.push(w.Store.Merge([]wire.Document{d}, 0))
	return nil
}

// recordResult records whether a call succeeded and returns its error, or the
// context's error if ctx is done.
func (w *Watcher) recordResult(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	state := platformUp
	if err != nil {
		state = platformDown
	} else {
		w.Store.RecordPlatformContact(0)
	}
	w.mu.Lock()
	before := w.state
	w.state = state
	w.mu.Unlock()
	w.recordState(before, state, err)
	return err
}

// recordState records an event for each change between up and down. The first
// response after the start does not count as a change.
func (w *Watcher) recordState(before, state platformState, err error) {
	switch {
	case state == platformDown && before != platformDown:
		w.Recorder.Record("config.platform_down", "", events.F("error", err.Error()))
	case state == platformUp && before == platformDown:
		w.Recorder.Record("config.platform_up", "")
	}
}
