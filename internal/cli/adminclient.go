package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/coltsfootbay/coltsfootbay/internal/outbound"
)

const (
	adminTimeout = 5 * time.Second
	// maxAdminBytes limits the size of a response of an administration listener.
	maxAdminBytes = 32 << 20
)

// adminFlags are the flags of the commands that query daemons.
type adminFlags struct {
	urls    []string
	keyFile string
}

func (f *adminFlags) add(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.urls, "admin", nil, "base URL of an administration listener; repeatable")
	c.Flags().StringVar(&f.keyFile, "key-file", "", "file with the administration key")
	_ = c.MarkFlagRequired("admin")
	_ = c.MarkFlagRequired("key-file")
}

// adminClient is a client of the administration listener of one process.
type adminClient struct {
	base string
	key  string
	http *http.Client
}

func (f *adminFlags) clients() ([]*adminClient, error) {
	key, err := os.ReadFile(f.keyFile)
	if err != nil {
		return nil, err
	}
	shared := outbound.NewClient(&http.Transport{})
	shared.Timeout = adminTimeout
	var clients []*adminClient
	for _, base := range f.urls {
		u, err := url.Parse(base)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, fmt.Errorf("--admin %q is not a URL such as http://192.0.2.1:7002", base)
		}
		clients = append(clients, &adminClient{base: strings.TrimSuffix(base, "/"), key: strings.TrimSpace(string(key)), http: shared})
	}
	return clients, nil
}

func (c *adminClient) get(ctx context.Context, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.http.Do(request)
	if err != nil {
		return withoutURL(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", response.Status)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxAdminBytes))
	// Event fields and counters may exceed the integers that a float64 holds.
	decoder.UseNumber()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	return outbound.CheckEnd(response.Body, maxAdminBytes)
}

// withoutURL removes the URL from an HTTP client's error, because callers print it
// themselves.
func withoutURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

// maxParallelCalls limits how many processes are queried at a time.
const maxParallelCalls = 16

// queryAll calls query for every client in parallel and returns the errors in the
// clients' order.
func queryAll(clients []*adminClient, query func(i int, c *adminClient) error) []error {
	errs := make([]error, len(clients))
	slots := make(chan struct{}, maxParallelCalls)
	var group sync.WaitGroup
	for i, c := range clients {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			errs[i] = query(i, c)
		})
	}
	group.Wait()
	return errs
}

// printUnanswered prints the processes that did not answer. It returns
// errReported if none answered.
func printUnanswered(w io.Writer, clients []*adminClient, errs []error) error {
	failed := 0
	for i, err := range errs {
		if err != nil {
			failed++
			_, _ = fmt.Fprintf(w, "no answer from %s: %v\n", clients[i].base, err)
		}
	}
	if failed == len(clients) {
		return errReported
	}
	return nil
}
