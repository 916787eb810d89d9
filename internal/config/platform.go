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

// Bounds of the platform's answers.
const (
	maxListingBytes = 64 << 20
	// maxVMListBytes leaves room for spaces around a list that is 1 MiB at
	// most once encoded again.
	maxVMListBytes    = 4 << 20
	maxPlatformHeader = 32 << 10
)

// Times of calls to the platform.
const (
	watchWait = time.Second
	// callTimeout notices a watch that died silently 0.5 s after the platform
	// should have answered.
	callTimeout = watchWait + 500*time.Millisecond
	// listingTimeout allows for a listing of maxListingBytes at 6.4 MiB/s.
	listingTimeout = 10 * time.Second
)

// answer is what the platform sends for a listing or a watch.
type answer struct {
	Revision  uint64
	documents []namedRevision
}

// namedRevision is a document with its body compressed, so that a listing is
// never in memory as a whole.
type namedRevision struct {
	name string
	revision
}

// all returns the documents, with one body at a time.
func (a *answer) all() iter.Seq[wire.Document] {
	return func(yield func(wire.Document) bool) {
		for _, d := range a.documents {
			if !yield(d.document(d.name)) {
				return
			}
		}
	}
}

// decode reads the answer one document at a time, because decoding 5 MB at once
// needs three times as much for the decoder's buffer.
func (a *answer) decode(d *json.Decoder) error {
	if err := expect(d, json.Delim('{')); err != nil {
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
		case "documents":
			err = a.decodeDocuments(d)
		default:
			err = d.Decode(&json.RawMessage{})
		}
		if err != nil {
			return err
		}
	}
	return expect(d, json.Delim('}'))
}

func (a *answer) decodeDocuments(d *json.Decoder) error {
	token, err := d.Token()
	if err != nil || token == nil {
		return err
	}
	if token != json.Delim('[') {
		return fmt.Errorf("documents are %v and not a list", token)
	}
	for d.More() {
		var document wire.Document
		if err := d.Decode(&document); err != nil {
			return err
		}
		a.documents = append(a.documents, namedRevision{document.Name, pack(bound(document))})
	}
	return expect(d, json.Delim(']'))
}

func expect(d *json.Decoder, wanted json.Delim) error {
	token, err := d.Token()
	if err == nil && token != wanted {
		err = fmt.Errorf("%v instead of %v", token, wanted)
	}
	return err
}

type vmAnswer struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// platform calls the platform's configuration service. It only reads.
type platform struct {
	base   string
	client *http.Client
}

func newPlatform(base string) *platform {
	transport := &http.Transport{
		MaxIdleConnsPerHost:    2,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: maxPlatformHeader,
	}
	refuseRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &platform{
		base:   strings.TrimSuffix(base, "/"),
		client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
}

func (p *platform) close() { p.client.CloseIdleConnections() }

func (p *platform) list(ctx context.Context) (answer, error) {
	var a answer
	return a, p.get(ctx, "/v1/documents", listingTimeout, maxListingBytes, &a)
}

func (p *platform) watch(ctx context.Context, after uint64, wait time.Duration) (answer, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait", strconv.Itoa(int(wait/time.Second)))
	var a answer
	return a, p.get(ctx, "/v1/watch?"+query.Encode(), callTimeout, maxListingBytes, &a)
}

// vmList returns the VM list as the document that processes pass on. It is
// encoded again, so that equal lists have equal bodies.
func (p *platform) vmList(ctx context.Context) (wire.Document, error) {
	var a vmAnswer
	if err := p.get(ctx, "/v1/vms", callTimeout, maxVMListBytes, &a); err != nil {
		return wire.Document{}, err
	}
	body, err := json.Marshal(a.VMs)
	return wire.Document{Name: VMListDocument, Revision: a.Revision, Body: string(body)}, err
}

func (p *platform) get(ctx context.Context, path string, timeout time.Duration, limit int64, target any) error {
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
	if a, ok := target.(*answer); ok {
		err = a.decode(decoder)
	} else {
		err = decoder.Decode(target)
	}
	if bounded.N <= 0 {
		return fmt.Errorf("GET %s: the answer exceeds %d bytes", path, limit)
	}
	if err != nil {
		return fmt.Errorf("GET %s: %w", path, err)
	}
	// The rest is read so that the connection can be used again.
	_, err = io.Copy(io.Discard, bounded)
	return err
}
