package standin

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Document is a document as the platform serves it.
type Document struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	// History is the history in which the document was written.
	History uint64 `json:"history"`
	Deleted bool   `json:"deleted"`
	Body    string `json:"body"`
}

// Listing is the platform's response to reads and watches.
type Listing struct {
	Revision uint64 `json:"revision"`
	// History rises by one with each restore, and HistoryStart is the revision of the copy
	// with which it began.
	History      uint64     `json:"history"`
	HistoryStart uint64     `json:"history_start"`
	Documents    []Document `json:"documents"`
}

// VM is an entry of the platform's VM list.
type VM struct {
	Name         string `json:"name"`
	Role         string `json:"role"`
	Address      string `json:"address"`
	AdminAddress string `json:"admin_address"`
	Zone         string `json:"zone"`
	State        string `json:"state"`
}

// VMList is the platform's VM list. Its revision is independent of that of the
// documents.
type VMList struct {
	Revision uint64 `json:"revision"`
	// History is the history in which the list was written.
	History uint64 `json:"history"`
	VMs     []VM   `json:"vms"`
}

// PlatformMode selects how the platform responds.
type PlatformMode string

// Modes of the platform. Refuse responds with status 503, drop closes the
// connection, stale serves the state at the time the mode was set, slow waits
// before it responds and hang never responds.
const (
	PlatformUp     PlatformMode = "up"
	PlatformRefuse PlatformMode = "refuse"
	PlatformDrop   PlatformMode = "drop"
	PlatformStale  PlatformMode = "stale"
	PlatformSlow   PlatformMode = "slow"
	PlatformHang   PlatformMode = "hang"
)

// PlatformSettings is the body of POST /control/mode. The delay applies to mode
// slow.
type PlatformSettings struct {
	Mode    PlatformMode `json:"mode"`
	DelayMS int64        `json:"delay_ms"`
}

// maxWatch is the longest time that a watch waits for a change.
const maxWatch = time.Minute

type timedVMs struct {
	since time.Time
	list  VMList
}

// Platform is the stand-in for the configuration service and the VM list.
type Platform struct {
	mu        sync.Mutex
	revision  uint64
	documents map[string]Document
	changed   chan struct{}
	vms       []timedVMs // oldest first; the first entry is always visible
	vmLag     time.Duration
	settings  PlatformSettings
	frozen    Listing
	frozenVMs VMList
	calls     map[string]int

	history, historyStart uint64
	// writes and vmWrites hold all writes that the current state contains, oldest first.
	writes   []timedDocument
	vmWrites []timedVMs
}

type timedDocument struct {
	since time.Time
	Document
}

// NewPlatform returns a platform without documents and VMs, in mode up.
func NewPlatform() *Platform {
	return &Platform{
		documents: map[string]Document{},
		changed:   make(chan struct{}),
		vms:       []timedVMs{{list: VMList{VMs: []VM{}}}},
		settings:  PlatformSettings{Mode: PlatformUp},
		calls:     map[string]int{},
	}
}

// Handler returns a handler for the platform protocol and the control paths.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/documents", p.withMode(p.serveDocuments))
	mux.HandleFunc("GET /v1/watch", p.withMode(p.serveWatch))
	mux.HandleFunc("GET /v1/vms", p.withMode(p.serveVMs))
	mux.HandleFunc("POST /control/documents", p.controlPublish)
	mux.HandleFunc("DELETE /control/documents/{name...}", p.controlDelete)
	mux.HandleFunc("POST /control/vms", p.controlVMs)
	mux.HandleFunc("POST /control/vm-state", p.controlVMState)
	mux.HandleFunc("POST /control/mode", p.controlMode)
	mux.HandleFunc("POST /control/vm-lag", p.controlVMLag)
	mux.HandleFunc("GET /control/calls", p.controlCalls)
	mux.HandleFunc("POST /control/restore", p.controlRestore)
	return mux
}

// Publish stores a document and returns its revision.
func (p *Platform) Publish(name, body string) uint64 {
	return p.put(Document{Name: name, Body: body}).Revision
}

// Delete replaces a document by a tombstone and returns the tombstone's revision.
func (p *Platform) Delete(name string) uint64 {
	return p.put(Document{Name: name, Deleted: true}).Revision
}

// put stores a document and returns it without its body.
func (p *Platform) put(d Document) Document {
	p.mu.Lock()
	defer p.mu.Unlock()
	d.Revision, d.History = p.revision+1, p.history
	p.apply(timedDocument{time.Now(), d})
	p.notify()
	d.Body = ""
	return d
}

func (p *Platform) apply(w timedDocument) {
	p.revision = w.Revision
	p.documents[w.Name] = w.Document
	p.writes = append(p.writes, w)
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Restore replaces the documents and the VM list by a copy that was made age ago and begins
// a new history. Waiting watches are cut. It returns what the copy lacks: the last lost
// write of each document.
func (p *Platform) Restore(age time.Duration) (lost []Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	copied, all := time.Now().Add(-age), p.writes
	p.documents, p.writes, p.revision = map[string]Document{}, nil, 0
	last := map[string]Document{}
	for _, w := range all {
		if w.since.Before(copied) {
			p.apply(w)
		} else {
			last[w.Name] = w.Document
		}
	}
	p.history++
	p.historyStart = p.revision
	kept := slices.DeleteFunc(p.vmWrites, func(t timedVMs) bool { return !t.since.Before(copied) })
	p.vmWrites, p.vms = kept, []timedVMs{{list: VMList{VMs: []VM{}}}}
	if len(kept) > 0 {
		p.vms = []timedVMs{kept[len(kept)-1]}
	}
	p.notify()
	return slices.SortedFunc(maps.Values(last), func(a, b Document) int { return cmp.Compare(a.Revision, b.Revision) })
}

// withMode counts a call and applies the platform's mode before the call is served.
func (p *Platform) withMode(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[r.URL.Path]++
		s := p.settings
		p.mu.Unlock()
		switch s.Mode {
		case PlatformRefuse:
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		case PlatformDrop:
			panic(http.ErrAbortHandler)
		case PlatformHang:
			<-r.Context().Done()
			return
		case PlatformSlow:
			if !sleep(r.Context(), time.Duration(s.DelayMS)*time.Millisecond) {
				return
			}
		}
		next(w, r)
	}
}

func (p *Platform) serveDocuments(w http.ResponseWriter, _ *http.Request) {
	listing, _ := p.list(0)
	writeJSON(w, listing)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := parseSeconds(r.FormValue("wait"))
	if err != nil {
		http.Error(w, "wait: "+err.Error(), http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	first, _ := p.list(after)
	for {
		listing, changed := p.list(after)
		if listing.History != first.History {
			panic(http.ErrAbortHandler)
		}
		if len(listing.Documents) > 0 {
			// A mode that was set while the watch waited also applies to its response.
			p.answerWatch(w, r, listing)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			p.answerWatch(w, r, listing)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answerWatch responds to a watch according to the current mode.
func (p *Platform) answerWatch(w http.ResponseWriter, r *http.Request, listing Listing) {
	p.mu.Lock()
	mode := p.settings.Mode
	p.mu.Unlock()
	switch mode {
	case PlatformRefuse, PlatformDrop:
		panic(http.ErrAbortHandler)
	case PlatformHang:
		<-r.Context().Done()
	default:
		writeJSON(w, listing)
	}
}

func parseSeconds(text string) (time.Duration, error) {
	text = strings.TrimSuffix(text, "s")
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	return min(max(0, time.Duration(seconds*float64(time.Second))), maxWatch), nil
}

// list returns the documents that changed after a revision and a channel that is
// closed at the next change.
func (p *Platform) list(after uint64) (Listing, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.settings.Mode == PlatformStale {
		return filter(p.frozen, after), p.changed
	}
	return filter(p.current(), after), p.changed
}

func (p *Platform) current() Listing {
	l := Listing{Revision: p.revision, History: p.history, HistoryStart: p.historyStart, Documents: []Document{}}
	for _, d := range p.documents {
		l.Documents = append(l.Documents, d)
	}
	slices.SortFunc(l.Documents, func(a, b Document) int { return strings.Compare(a.Name, b.Name) })
	return l
}

func filter(l Listing, after uint64) Listing {
	kept := []Document{}
	for _, d := range l.Documents {
		if d.Revision > after {
			kept = append(kept, d)
		}
	}
	l.Documents = kept
	return l
}

func (p *Platform) serveVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	list := p.frozenVMs
	if p.settings.Mode != PlatformStale {
		list = p.visibleVMs(time.Now())
	}
	p.mu.Unlock()
	writeJSON(w, list)
}

// visibleVMs returns the newest list that is at least as old as the lag and
// discards older ones.
func (p *Platform) visibleVMs(now time.Time) VMList {
	shown := 0
	for i, t := range p.vms {
		if i == 0 || now.Sub(t.since) >= p.vmLag {
			shown = i
		}
	}
	p.vms = p.vms[shown:]
	return p.vms[0].list
}

// SetVMs replaces the VM list; the new list is visible after the lag.
func (p *Platform) SetVMs(vms []VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setVMs(vms)
}

func (p *Platform) setVMs(vms []VM) {
	newest := p.vms[len(p.vms)-1].list
	if vms == nil {
		vms = []VM{}
	}
	list := timedVMs{since: time.Now(), list: VMList{Revision: newest.Revision + 1, History: p.history, VMs: vms}}
	p.vms = append(p.vms, list)
	p.vmWrites = append(p.vmWrites, list)
}

func (p *Platform) controlPublish(w http.ResponseWriter, r *http.Request) {
	var d Document
	if readJSON(w, r, &d) {
		writeJSON(w, p.put(Document{Name: d.Name, Body: d.Body}))
	}
}

func (p *Platform) controlDelete(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, p.put(Document{Name: r.PathValue("name"), Deleted: true}))
}

func (p *Platform) controlVMs(w http.ResponseWriter, r *http.Request) {
	var vms []VM
	if readJSON(w, r, &vms) {
		p.SetVMs(vms)
	}
}

// controlVMState sets the state of a VM from a body of {name, state}; the state
// "gone" removes the VM.
func (p *Platform) controlVMState(w http.ResponseWriter, r *http.Request) {
	var change VM
	if !readJSON(w, r, &change) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := slices.Clone(p.vms[len(p.vms)-1].list.VMs)
	i := slices.IndexFunc(vms, func(v VM) bool { return v.Name == change.Name })
	if i < 0 {
		http.Error(w, "unknown VM "+change.Name, http.StatusNotFound)
		return
	}
	if vms[i].State = change.State; change.State == "gone" {
		vms = slices.Delete(vms, i, i+1)
	}
	p.setVMs(vms)
}

func (p *Platform) controlMode(w http.ResponseWriter, r *http.Request) {
	var s PlatformSettings
	if !readJSON(w, r, &s) {
		return
	}
	switch s.Mode {
	case PlatformUp, PlatformRefuse, PlatformDrop, PlatformStale, PlatformSlow, PlatformHang:
	default:
		http.Error(w, "unknown mode "+string(s.Mode), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Mode == PlatformStale && p.settings.Mode != PlatformStale {
		p.frozen, p.frozenVMs = p.current(), p.visibleVMs(time.Now())
	}
	p.settings = s
}

func (p *Platform) controlVMLag(w http.ResponseWriter, r *http.Request) {
	var lag struct {
		MS int64 `json:"ms"`
	}
	if readJSON(w, r, &lag) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.visibleVMs(time.Now()) // a list that was visible must not disappear
		p.vmLag = time.Duration(lag.MS) * time.Millisecond
	}
}

// controlRestore restores the platform and returns the documents that the copy lacks.
func (p *Platform) controlRestore(w http.ResponseWriter, r *http.Request) {
	var copied struct {
		AgeMS int64 `json:"age_ms"`
	}
	if readJSON(w, r, &copied) {
		writeJSON(w, p.Restore(time.Duration(copied.AgeMS)*time.Millisecond))
	}
}

func (p *Platform) controlCalls(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	calls := maps.Clone(p.calls)
	p.mu.Unlock()
	writeJSON(w, calls)
}
