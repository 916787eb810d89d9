package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/standin"
)

const (
	model   = "small"
	service = "records"
	// answerTokens makes a completion take about one second, long enough for the
	// kills to interrupt running streams.
	answerTokens = 50
	// workersPerLoad is the maximum number of concurrent calls of one load.
	workersPerLoad = 4
	callTimeout    = 12 * time.Second
)

// load describes the calls that one account sends with one rank.
type load struct {
	account string
	rank    string
	// requestedRank is the value of the Request-Rank header; if empty, the
	// template's rank applies.
	requestedRank string
	completions   int
	filings       int
}

var loads = []load{
	{account: "clinic", rank: "top", completions: 20, filings: 10},
	{account: "clinic", rank: "bottom", requestedRank: "bottom", completions: 5},
	{account: "office", rank: "middle", completions: 20, filings: 10},
	{account: "archive", rank: "bottom", completions: 15},
}

// result is one call with its outcome.
type result struct {
	load    *load
	filing  bool
	id      string
	outcome harness.Outcome
}

func options(bin string) harness.Options {
	template := func(name, rank string, share float64) harness.TemplateSpec {
		return harness.TemplateSpec{
			Name: name, Rank: rank, Share: share, Models: []string{model}, Services: []string{service},
			FirstToken: 10 * time.Second, BetweenTokens: time.Second, MaxAge: 10 * time.Second,
		}
	}
	engine := harness.AgentSpec{Kind: settings.KindModel, Backend: model, Slots: 8}
	return harness.Options{
		Bin:       bin,
		Zones:     []string{"zone-1", "zone-2", "zone-3"},
		Entries:   3,
		Agents:    []harness.AgentSpec{engine, engine, engine, {Kind: settings.KindService, Backend: service}},
		Models:    []harness.ModelSpec{{Name: model}},
		Services:  []harness.ServiceSpec{{Name: service, Rules: []dynamic.Rule{{Method: http.MethodPost, PathPrefix: "/filings"}}}},
		Templates: []harness.TemplateSpec{template("urgent", "top", 0.5), template("routine", "middle", 0.3), template("summaries", "bottom", 0.2)},
		Accounts: []harness.AccountSpec{
			{ID: "clinic", Key: "clinic-key", Template: "urgent"},
			{ID: "office", Key: "office-key", Template: "routine"},
			{ID: "archive", Key: "archive-key", Template: "summaries"},
		},
		ReadyTimeout: 10 * time.Second,
	}
}

func run(ctx context.Context, bin string, out io.Writer) error {
	began := time.Now()
	fleet, err := harness.Start(ctx, options(bin))
	if err != nil {
		return err
	}
	defer fleet.Close()
	printProgress(out, began, "3 entry VMs, 3 engines and 1 service are ready")
	results := sendAll(ctx, fleet, func() {
		fleet.Entries[1].Kill()
		printProgress(out, began, "killed entry-2")
		fleet.Agents[0].Backend.Kill()
		printProgress(out, began, "killed the engine behind agent-1")
	})
	printProgress(out, began, "all calls have ended")
	rows, err := compareWithRuns(ctx, fleet, results)
	if err != nil {
		return err
	}
	printTable(out, rows)
	return checkGuarantees(rows)
}

func printProgress(out io.Writer, began time.Time, text string) {
	_, _ = fmt.Fprintf(out, "%5.1fs  %s\n", time.Since(began).Seconds(), text)
}

// sendAll sends all loads and calls fail once, when a third of the calls have
// ended.
func sendAll(ctx context.Context, fleet *harness.Fleet, fail func()) []result {
	total := 0
	for _, l := range loads {
		total += l.completions + l.filings
	}
	var (
		mu      sync.Mutex
		results []result
		ended   atomic.Int64
		once    sync.Once
		all     errgroup.Group
	)
	for i := range loads {
		l := &loads[i]
		client := fleet.Client(l.account)
		var calls errgroup.Group
		calls.SetLimit(workersPerLoad)
		all.Go(func() error {
			for n := range l.completions + l.filings {
				calls.Go(func() error {
					r := l.send(ctx, client, n)
					mu.Lock()
					results = append(results, r)
					mu.Unlock()
					if ended.Add(1) >= int64(total/3) {
						once.Do(fail)
					}
					return nil
				})
			}
			return calls.Wait()
		})
	}
	_ = all.Wait() // calls never return an error; failures are outcomes
	return results
}

// send sends the load's n-th call. Filings are spread among the completions.
func (l *load) send(ctx context.Context, client *harness.Client, n int) result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := result{load: l, filing: n%3 == 2 && n/3 < l.filings, id: fmt.Sprintf("%s-%s-%d", l.account, l.rank, n)}
	if !r.filing {
		r.outcome = client.Complete(ctx, harness.Completion{Model: model, Prompt: r.id, MaxTokens: answerTokens, Rank: l.requestedRank})
		return r
	}
	body, _ := json.Marshal(map[string]string{"id": r.id})
	r.outcome = client.CallService(ctx, harness.ServiceCall{
		Service: service, Method: http.MethodPost, Path: "/filings", Body: body,
		ContentType: "application/json", Ticketed: true,
	})
	return r
}

// row counts the outcomes of one account's calls of one kind with one rank.
type row struct {
	load   *load
	filing bool

	sent, answered, notRun, mayHaveRun int
	duplicated, wrong, falseNotRun     int
}

// compareWithRuns compares the callers' outcomes with the requests that the backend
// servers ran. The killed engine's counts are lost; a completion's verdict not_run
// is checked only against the engines still running.
func compareWithRuns(ctx context.Context, fleet *harness.Fleet, results []result) ([]*row, error) {
	filings, err := fleet.Runs()
	if err != nil {
		return nil, err
	}
	completions := map[string]int{}
	for _, a := range fleet.Agents {
		if a.Settings.BackendServer.Kind != settings.KindModel || !a.Backend.Running() {
			continue
		}
		counts, err := a.EngineCounts(ctx)
		if err != nil {
			return nil, err
		}
		for id, n := range counts.Runs {
			completions[id] += n
		}
	}
	var rows []*row
	for _, filing := range []bool{false, true} {
		for i := range loads {
			rows = append(rows, &row{load: &loads[i], filing: filing})
		}
	}
	for _, r := range results {
		for _, w := range rows {
			if w.load == r.load && w.filing == r.filing {
				w.count(r, filings[r.id], completions[r.outcome.RequestID])
			}
		}
	}
	return rows, nil
}

func (w *row) count(r result, filingRuns, completionRuns int) {
	w.sent++
	o := r.outcome
	runs := completionRuns
	if r.filing {
		runs = filingRuns
		if runs > 1 {
			w.duplicated++
		}
	}
	switch {
	case o.Complete && o.Status == http.StatusOK:
		w.answered++
		if !r.correct(filingRuns) {
			w.wrong++
		}
	case o.Verdict == "not_run":
		w.notRun++
		if runs > 0 {
			w.falseNotRun++
		}
	default:
		w.mayHaveRun++
	}
}

// correct reports whether a complete response is the expected one.
func (r result) correct(filingRuns int) bool {
	if !r.filing {
		return r.outcome.Text == standin.Text(model, r.id, answerTokens)
	}
	var answer struct {
		ID string `json:"id"`
	}
	return json.Unmarshal([]byte(r.outcome.Text), &answer) == nil && answer.ID == r.id && filingRuns == 1
}

func printTable(out io.Writer, rows []*row) {
	const format = "%-8s %-7s %-11s %5v %9v %8v %13v %8v %6v %14v\n"
	_, _ = fmt.Fprintf(out, format, "account", "rank", "kind", "sent", "answered", "not_run", "may_have_run", "doubled", "wrong", "false not_run")
	for _, w := range rows {
		if w.sent == 0 {
			continue
		}
		kind := "completion"
		if w.filing {
			kind = "filing"
		}
		_, _ = fmt.Fprintf(out, format, w.load.account, w.load.rank, kind, w.sent, w.answered, w.notRun, w.mayHaveRun, w.duplicated, w.wrong, w.falseNotRun)
	}
}

// checkGuarantees returns an error if a guarantee was violated, or if a row has no
// answered call at all, because such a row proves nothing.
func checkGuarantees(rows []*row) error {
	var faults []error
	for _, w := range rows {
		if w.sent == 0 {
			continue
		}
		if n := w.duplicated + w.wrong + w.falseNotRun; n > 0 {
			faults = append(faults, fmt.Errorf("%s at rank %s: %d violated guarantees", w.load.account, w.load.rank, n))
		}
		if w.answered == 0 {
			faults = append(faults, fmt.Errorf("%s at rank %s: no call was answered", w.load.account, w.load.rank))
		}
	}
	return errors.Join(faults...)
}
