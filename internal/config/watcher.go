package config

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

const (
	// idleInterval is how often a process that does not read checks whether
	// it should.
	idleInterval = 250 * time.Millisecond
	// vmInterval is the time between a reader's calls for the VM list.
	vmInterval = time.Second
	// maxPlatformAge is the age beyond which a process polls the platform
	// although it is not a reader.
	maxPlatformAge = 2 * time.Second
	firstBackoff   = 250 * time.Millisecond
	// minWatchPause bounds the calls to a platform that does not hold watches.
	minWatchPause = 50 * time.Millisecond
	// readerBackoff is low because there are only two readers per zone.
	readerBackoff = time.Second
	// pollBackoff bounds the calls of 380 processes to 38 a second.
	pollBackoff = 10 * time.Second
)

// WatcherConfig holds what a Watcher needs.
type WatcherConfig struct {
	// URL is the platform's base URL.
	URL   string
	Store *Store
	// Reader reports whether this process is one of its zone's readers. It is
	// called from two goroutines.
	Reader   func() bool
	Recorder *events.Recorder
	// Push passes new documents on to peers; it may be nil.
	Push func([]wire.Document)
	// Offer names new documents of a listing that are too large for Push; it
	// may be nil.
	Offer func([]wire.DocumentOffer)
}

// Watcher follows the platform's documents and VM list.
type Watcher struct {
	WatcherConfig
	platform *platform

	// after is the highest revision that the platform answered; listed tells
	// that a full listing was made since the process became a reader. Only
	// the document loop uses them.
	after  uint64
	listed bool

	mu    sync.Mutex
	state platformState
	stale bool
}

type platformState int

const (
	platformUnknown platformState = iota
	platformUp
	platformDown
)

// NewWatcher returns a watcher that is not running yet.
func NewWatcher(c WatcherConfig) *Watcher {
	return &Watcher{WatcherConfig: c, platform: newPlatform(c.URL)}
}

// Run follows the platform until ctx is done and then returns nil. Failed
// calls are retried and recorded, never returned.
func (w *Watcher) Run(ctx context.Context) error {
	defer w.platform.close()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.followDocuments(ctx) })
	group.Go(func() error { return w.followVMs(ctx) })
	return group.Wait()
}

func (w *Watcher) followDocuments(ctx context.Context) error {
	var retry backoff
	wasReader := false
	for ctx.Err() == nil {
		reader := w.Reader()
		if reader && !wasReader {
			w.listed = false
		}
		wasReader = reader
		if !reader && !w.mustPoll() {
			sleep(ctx, idleInterval)
			continue
		}
		if err := w.readDocuments(ctx, reader); err != nil {
			sleep(ctx, retry.next(limitFor(reader)))
			continue
		}
		retry.reset()
	}
	return nil
}

func (w *Watcher) mustPoll() bool { return w.Store.PlatformAge() > maxPlatformAge }

func limitFor(reader bool) time.Duration {
	if reader {
		return readerBackoff
	}
	return pollBackoff
}

// readDocuments makes one call for documents: a listing before the first watch.
// A process that is not a reader also asks for the VM list.
func (w *Watcher) readDocuments(ctx context.Context, reader bool) error {
	wait := watchWait
	if !reader {
		wait = 0
	}
	call := func() error { return w.readChanges(ctx, wait) }
	if !w.listed {
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
	if w.answered(ctx, err) != nil {
		return err
	}
	w.noteRevision(seen, a.Revision)
	w.listed = true
	fresh, offers := w.Store.MergeListing(a.all(), a.Revision)
	w.push(fresh)
	if w.Offer != nil && len(offers) > 0 {
		w.Offer(offers)
	}
	return nil
}

func (w *Watcher) readChanges(ctx context.Context, wait time.Duration) error {
	seen := w.Store.Revision()
	a, err := w.platform.watch(ctx, w.after, wait)
	if w.answered(ctx, err) != nil {
		return err
	}
	w.noteRevision(seen, a.Revision)
	w.push(w.Store.Merge(slices.Collect(a.all()), a.Revision))
	sleep(ctx, minWatchPause)
	return nil
}

// noteRevision records the beginning of each period in which the platform
// answers with a lower revision than this process had seen before the call.
func (w *Watcher) noteRevision(seen, revision uint64) {
	w.after = max(w.after, revision)
	w.mu.Lock()
	began := revision < seen && !w.stale
	w.stale = revision < seen
	w.mu.Unlock()
	if began {
		w.Recorder.Record("config.platform_stale", "", events.F("revision", revision), events.F("seen", seen))
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
		case !w.Reader():
			retry.reset()
			sleep(ctx, idleInterval)
		case w.readVMs(ctx) != nil:
			sleep(ctx, retry.next(readerBackoff))
		default:
			retry.reset()
			sleep(ctx, vmInterval)
		}
	}
	return nil
}

func (w *Watcher) readVMs(ctx context.Context) error {
	d, err := w.platform.vmList(ctx)
	if w.answered(ctx, err) != nil {
		return err
	}
	w.push(w.Store.Merge([]wire.Document{d}, 0))
	return nil
}

// answered notes the outcome of a call and returns its error.
func (w *Watcher) answered(ctx context.Context, err error) error {
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

// recordState records each change between up and down. The first answer after
// the start is no change.
func (w *Watcher) recordState(before, state platformState, err error) {
	switch {
	case state == platformDown && before != platformDown:
		w.Recorder.Record("config.platform_down", "", events.F("error", err.Error()))
	case state == platformUp && before == platformDown:
		w.Recorder.Record("config.platform_up", "")
	}
}
