package config

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

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
}

// platformDocument is a document with the history in which it was written.
type platformDocument struct {
	wire.Document
	History uint64 `json:"history"`
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
func (a *documentsResponse) decode(d *json.Decoder) error {
	if err := expectDelim(d, json.Delim('{')); err != nil {
		return err
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return err
		}
		switch key {
		case "revision":
			err = d.Decode(&a.Revision)
		case "history":
			err = d.Decode(&a.History)
		case "history_start":
			err = d.Decode(&a.HistoryStart)
		case "documents":
			err = a.decodeDocuments(d)
		default:
			err = d.Decode(&json.RawMessage{})
		}
		if err != nil {
			return err
		}
	}
	if err := expectDelim(d, json.Delim('}')); err != nil {
		return err
	}
	return a.check()
}

func (a *documentsResponse) decodeDocuments(d *json.Decoder) error {
	token, err := d.Token()
	if err != nil || token == nil {
		return err
	}
	if token != json.Delim('[') {
		return fmt.Errorf("documents: got %v, want a list", token)
	}
	for d.More() {
		var p platformDocument
		if err := d.Decode(&p); err != nil {
			return err
		}
		document, err := truncateBody(p.Document), error(nil)
		if document.Revision, err = Revision(p.History, p.Revision); err != nil {
			return err
		}
		a.documents = append(a.documents, namedRevision{document.Name, newRevision(document)})
	}
	return expectDelim(d, json.Delim(']'))
}

func expectDelim(d *json.Decoder, wanted json.Delim) error {
	token, err := d.Token()
	if err == nil && token != wanted {
		err = fmt.Errorf("got %v, want %v", token, wanted)
	}
	return err
}

type vmListResponse struct {
	Revision uint64 `json:"revision"`
	// History is the history in which the list was written.
	History uint64 `json:"history"`
	VMs     []VM   `json:"vms"`
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
	refuseRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &platformClient{
		base:   strings.TrimSuffix(base, "/"),
		client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
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

// vmList returns the VM list as a document for distribution to peers. The list is
// re-encoded to make equal lists have equal bodies.
func (p *platformClient) vmList(ctx context.Context) (wire.Document, error) {
	var a vmListResponse
	if err := p.get(ctx, "/v1/vms", callTimeout, maxVMListBytes, &a); err != nil {
		return wire.Document{}, err
	}
	revision, err := Revision(a.History, a.Revision)
	if err != nil {
		return wire.Document{}, err
	}
	body, err := json.Marshal(a.VMs)
	return wire.Document{Name: VMListDocument, Revision: revision, Body: string(body)}, err
}

func (p *platformClient) get(ctx context.Context, path string, timeout time.Duration, limit int64, target any) error {
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

func decodeBounded(body io.Reader, path string, limit int64, target any) error {
	bounded := &io.LimitedReader{R: body, N: limit + 1}
	decoder := json.NewDecoder(bounded)
	var err error
	if a, ok := target.(*documentsResponse); ok {
		err = a.decode(decoder)
	} else {
		err = decoder.Decode(target)
	}
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
