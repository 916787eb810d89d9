package cli

import (
	"context"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/spf13/cobra"

	"github.com/coltsfootbay/coltsfootbay/internal/adminhttp"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

const (
	followInterval = 500 * time.Millisecond
	// followDelay is how long --follow delays an event. It gives preceding events
	// of other processes time to arrive first.
	followDelay = time.Second
	// maxEventPages limits the calls to one process. At 1000 events per page it
	// covers more than the ring of 8192 events.
	maxEventPages = 16
)

func newTimeline() *cobra.Command {
	var flags adminFlags
	var request string
	var follow bool
	c := &cobra.Command{
		Use:   "timeline --admin URL... --key-file FILE [--request ID] [--follow]",
		Short: "Print the events of processes in causal order",
		Long: `Print the recent events of processes in causal order, one line each. Processes
that did not answer are named on standard error. The exit status is 1 if none
answered. --follow goes on until it is interrupted and prints events one second
late, so that they stay in order.`,
		Example: `  coltsfootbay timeline --admin http://192.0.2.1:7002 --admin http://192.0.2.2:7002 --key-file admin.key
  coltsfootbay timeline --admin http://192.0.2.1:7002 --key-file admin.key --request 5f0c1a2b3c4d5e6f70819203 --follow`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			clients, err := flags.clients()
			if err != nil {
				return err
			}
			t := newTimelineReader(clients, fleet.RequestID(request), cmd.OutOrStdout(), cmd.ErrOrStderr())
			if follow {
				return t.follow(cmd.Context())
			}
			return t.printAll(cmd.Context())
		},
	}
	flags.add(c)
	c.Flags().StringVar(&request, "request", "", "print only events of this request")
	c.Flags().BoolVar(&follow, "follow", false, "go on printing new events")
	return c
}

// timelineReader merges the events of several processes.
type timelineReader struct {
	clients []*adminClient
	request fleet.RequestID
	out     io.Writer
	errOut  io.Writer
	// after is the timestamp of the last event fetched from each process.
	after []events.Timestamp
	// failed is true for processes that did not answer the last call.
	failed []bool
	// pending holds fetched events that are not printed yet.
	pending []events.Event
}

func newTimelineReader(clients []*adminClient, request fleet.RequestID, out, errOut io.Writer) *timelineReader {
	return &timelineReader{
		clients: clients, request: request, out: out, errOut: errOut,
		after: make([]events.Timestamp, len(clients)), failed: make([]bool, len(clients)),
	}
}

func (t *timelineReader) printAll(ctx context.Context) error {
	errs := t.fetch(ctx)
	t.printUntil(math.MaxInt64)
	return printUnanswered(t.errOut, t.clients, errs)
}

func (t *timelineReader) follow(ctx context.Context) error {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		t.reportNewFailures(ctx, t.fetch(ctx))
		t.printUntil(time.Now().Add(-followDelay).UnixMilli())
		select {
		case <-ctx.Done():
			t.printUntil(math.MaxInt64)
			return nil
		case <-ticker.C:
		}
	}
}

// reportNewFailures prints a process once when it stops answering.
func (t *timelineReader) reportNewFailures(ctx context.Context, errs []error) {
	for i, err := range errs {
		if err != nil && !t.failed[i] && ctx.Err() == nil {
			_, _ = fmt.Fprintf(t.errOut, "no answer from %s: %v\n", t.clients[i].base, err)
		}
		t.failed[i] = err != nil
	}
}

// fetch adds the new events of all processes to the pending ones.
func (t *timelineReader) fetch(ctx context.Context) []error {
	rings := make([][]events.Event, len(t.clients)+1)
	errs := queryAll(t.clients, func(i int, c *adminClient) error {
		var err error
		rings[i], t.after[i], err = fetchEvents(ctx, c, t.after[i])
		return err
	})
	rings[len(t.clients)] = t.pending
	t.pending = events.Merge(rings...)
	return errs
}

func fetchEvents(ctx context.Context, c *adminClient, after events.Timestamp) ([]events.Event, events.Timestamp, error) {
	var all []events.Event
	for range maxEventPages {
		var answer adminhttp.EventsAnswer
		if err := c.get(ctx, fmt.Sprintf("/admin/v1/events?after=%d", after), &answer); err != nil {
			return all, after, err
		}
		all, after = append(all, answer.Events...), answer.Next
		if !answer.More {
			break
		}
	}
	return all, after, nil
}

// printUntil prints the pending events up to a Unix time in milliseconds.
func (t *timelineReader) printUntil(limit int64) {
	n := 0
	for n < len(t.pending) && t.pending[n].Time.Milliseconds() <= limit {
		if e := t.pending[n]; t.request == "" || e.Request == t.request {
			_, _ = fmt.Fprintln(t.out, eventLine(e))
		}
		n++
	}
	t.pending = t.pending[n:]
}

func eventLine(e events.Event) string {
	var b strings.Builder
	at := time.UnixMilli(e.Time.Milliseconds()).UTC()
	fmt.Fprintf(&b, "%s %s %s", at.Format("2006-01-02T15:04:05.000Z"), e.Process, e.Name)
	if e.Request != "" {
		fmt.Fprintf(&b, " request=%s", e.Request)
	}
	for _, f := range e.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Key, fieldText(f.Value))
	}
	return b.String()
}

// fieldText returns a value as text, quoted unless it is one printable word.
func fieldText(value any) string {
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsFunc(text, needsQuotes) {
		return strconv.Quote(text)
	}
	return text
}

func needsQuotes(r rune) bool {
	return r == '"' || r == '=' || unicode.IsSpace(r) || !unicode.IsPrint(r)
}
