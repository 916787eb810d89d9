package config

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/jsonstream"
	"github.com/coltsfootbay/coltsfootbay/internal/outbound"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Bounds on the size of the platform's responses, in bytes.
const (
	maxListingBytes = 64 << 20
	// maxVMListBytes leaves room for white space in a list that has at most 1 MiB
	// when re-encoded.
	maxVMListBytes = 4 << 20
	maxHeaderBytes = 32 << 10
)

// Timeouts of calls to the platform.
const (
	watchWait = time.Second
	// callTimeout detects a watch whose connection was lost without an error 0.5 s
	// after the platform should have answered.
	callTimeout = watchWait + 500*time.Millisecond
	// listingTimeout allows for a listing of maxListingBytes at 6.4 MiB/s.
	listingTimeout = 10 * time.Second
)

// documentsResponse is the platform's response to a listing or a watch.
type documentsResponse struct {
	// Revision is the platform's revision in its History.
	Revision, History uint64
	// HistoryStart is the revision of the copy with which the history began.
	HistoryStart uint64
	documents    []namedRevision
	// unreadable is the number of documents that have another form.
	unreadable int
}

// check returns an error if a number is out of range.
func (a *documentsResponse) check() error {
	_, err := Revision(a.History, max(a.Revision, a.HistoryStart))
	return err
}

// position returns the platform's revision as a combined number.
func (a *documentsResponse) position() uint64 { return a.History<<numberBits | a.Revision }

// namedRevision is a document whose body is compressed if it is large, so a listing
// is never held in memory uncompressed as a whole.
type namedRevision struct {
	name string
	revision
}

// all iterates over the documents and decompresses one body at a time.
func (a *documentsResponse) all() iter.Seq[wire.Document] {
	return func(yield func(wire.Document) bool) {
		for _, d := range a.documents {
			if !yield(d.document(d.name)) {
				return
			}
		}
	}
}

// decode reads the response one document at a time. Decoding 5 MB in one step needs
// three times as much memory for the decoder's buffer.
func (a *documentsResponse) decode(d jsonstream.Decoder) error {
	err := d.Object(func(key string) (err error) {
		switch key {
		case "revision":
			err = d.Decode(&a.Revision)
		case "history":
			err = d.Decode(&a.History)
		case "history_start":
			err = d.Decode(&a.HistoryStart)
		case "documents":
			err = d.Objects(a.addDocument)
		default:
			_, err = d.Value()
		}
		return err
	})
	return cmp.Or(err, a.check())
}

// addDocument adds a document. One that has another form spoils none of the others; it is
// added without a revision, which shows that its name is in use.
func (a *documentsResponse) addDocument(fields map[string]any) {
	d, err := decodeDocument(fields)
	if err != nil {
		a.unreadable++
		d = wire.Document{Name: d.Name}
	}
	a.documents = append(a.documents, namedRevision{d.Name, newRevision(truncateBody(d))})
}

var errForm = errors.New("a field is missing or has another type")

func decodeDocument(fields map[string]any) (wire.Document, error) {
	name, okName := jsonstream.String(fields, "name")
	body, okBody := jsonstream.String(fields, "body")
	deleted, okDeleted := jsonstream.Bool(fields, "deleted")
	revision, err := decodeRevision(fields)
	if name == "" || !okName || !okBody || !okDeleted || numberOf(revision) == 0 {
		err = cmp.Or(err, errForm)
	}
	return wire.Document{Name: name, Revision: revision, Deleted: deleted, Body: body}, err
}

// decodeRevision returns the revision number of a document or VM list.
func decodeRevision(fields map[string]any) (uint64, error) {
	number, okNumber := jsonstream.Int(fields, "revision", 0)
	history, okHistory := jsonstream.Int(fields, "history", 0)
	if !okNumber || !okHistory || number < 0 || history < 0 {
		return 0, errForm
	}
	return Revision(uint64(history), uint64(number))
}

// vmListResponse is the platform's response to a request for the VM list.
type vmListResponse struct {
	Revision uint64 `json:"revision"`
	// History is the history in which the list was written.
	History uint64 `json:"history"`
	VMs     []VM   `json:"vms"`
	// unreadable is the number of VMs that have another form.
	unreadable int
}

func (a *vmListResponse) decode(d jsonstream.Decoder) error {
	a.VMs = []VM{}
	return d.Object(func(key string) (err error) {
		switch key {
		case "revision":
			err = d.Decode(&a.Revision)
		case "history":
			err = d.Decode(&a.History)
		case "vms":
			err = d.Objects(a.addVM)
		default:
			_, err = d.Value()
		}
		return err
	})
}

// addVM adds a VM. One that is invalid is only counted; it spoils none of the others.
func (a *vmListResponse) addVM(fields map[string]any) {
	text := func(key string) string {
		value, _ := jsonstream.String(fields, key)
		return value
	}
	vm := VM{
		Name: fleet.ProcessID(text("name")), Role: fleet.Role(text("role")), Address: text("address"), AdminAddress: text("admin_address"),
		Zone: fleet.AvailabilityZone(text("zone")), State: VMState(text("state")),
	}
	if vm.check() != nil {
		a.unreadable++
		return
	}
	a.VMs = append(a.VMs, vm)
}

// platformClient reads documents and the VM list from the platform's configuration
// service.
type platformClient struct {
	base   string
	client *http.Client
}

func newPlatformClient(base string) *platformClient {
	transport := &http.Transport{
		MaxIdleConnsPerHost:    2,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &platformClient{base: strings.TrimSuffix(base, "/"), client: outbound.NewClient(transport)}
}

func (p *platformClient) close() { p.client.CloseIdleConnections() }

func (p *platformClient) list(ctx context.Context) (documentsResponse, error) {
	var a documentsResponse
	return a, p.get(ctx, "/v1/documents", listingTimeout, maxListingBytes, &a)
}

func (p *platformClient) watch(ctx context.Context, after uint64, wait time.Duration) (documentsResponse, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait", strconv.Itoa(int(wait/time.Second)))
	var a documentsResponse
	return a, p.get(ctx, "/v1/watch?"+query.Encode(), callTimeout, maxListingBytes, &a)
}

// vmList returns the VM list as a document for distribution to peers, and the number of
// VMs that were left out because they are unreadable. The list is re-encoded to make equal
// lists have equal bodies.
func (p *platformClient) vmList(ctx context.Context) (wire.Document, int, error) {
	var a vmListResponse
	if err := p.get(ctx, "/v1/vms", callTimeout, maxVMListBytes, &a); err != nil {
		return wire.Document{}, 0, err
	}
	revision, err := Revision(a.History, a.Revision)
	if err != nil {
		return wire.Document{}, 0, err
	}
	body, err := json.Marshal(a.VMs)
	return wire.Document{Name: VMListDocument, Revision: revision, Body: string(body)}, a.unreadable, err
}

func (p *platformClient) get(ctx context.Context, path string, timeout time.Duration, limit int64, target streamed) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.base+path, nil)
	if err != nil {
		return err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", path, response.StatusCode)
	}
	return decodeBounded(response.Body, path, limit, target)
}

// streamed is a response that is read one element at a time.
type streamed interface {
	decode(d jsonstream.Decoder) error
}

func decodeBounded(body io.Reader, path string, limit int64, target streamed) error {
	bounded := &io.LimitedReader{R: body, N: limit + 1}
	err := target.decode(jsonstream.NewDecoder(json.NewDecoder(bounded)))
	if bounded.N <= 0 {
		return fmt.Errorf("GET %s: the response exceeds %d bytes", path, limit)
	}
	if err != nil {
		return fmt.Errorf("GET %s: %w", path, err)
	}
	// The connection can be reused only after the body was read to its end.
	_, err = io.Copy(io.Discard, bounded)
	return err
}
