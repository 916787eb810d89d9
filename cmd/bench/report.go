package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
)

// result holds the measurements of one scenario.
type result struct {
	File     string   `json:"file"`
	Title    string   `json:"title"`
	Seed     int64    `json:"seed"`
	Variants []string `json:"variants"`
	Rows     []row    `json:"rows"`
	// Accounts holds the figures per variant, case and account.
	Accounts []accountFigures `json:"accounts"`
}

// row is one target with a figure per variant.
type row struct {
	Name    string  `json:"name"`
	Case    string  `json:"case"`
	Measure string  `json:"measure"`
	Target  string  `json:"target"`
	Figures []value `json:"figures"`
	// Verdict is "met" or "MISSED" for the product, or "" without a target.
	Verdict string `json:"verdict"`
}

// value is a figure. NaN and infinity, which JSON does not support, are encoded as
// null.
type value float64

// MarshalJSON returns the number, or null if it is not finite.
func (v value) MarshalJSON() ([]byte, error) {
	if math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) {
		return []byte("null"), nil
	}
	return json.Marshal(float64(v))
}

type accountFigures struct {
	Variant         string `json:"variant"`
	Case            string `json:"case"`
	Account         string `json:"account"`
	Rank            string `json:"rank"`
	Sent            int    `json:"sent"`
	Goodput         value  `json:"goodput_tokens_per_second"`
	TokenShare      value  `json:"token_part"`
	RefusedFraction value  `json:"refused_part"`
	FirstTokenP50   value  `json:"first_token_p50_seconds"`
	FirstTokenP95   value  `json:"first_token_p95_seconds"`
	BetweenP95      value  `json:"between_p95_seconds"`
}

func newResult(file string, s *scenario) result {
	r := result{File: file, Title: s.Title, Seed: s.Seed}
	for _, t := range s.Target {
		r.Rows = append(r.Rows, row{Name: t.Name, Case: t.Case, Measure: t.Measure, Target: t.text()})
	}
	return r
}

func (t targetSpec) text() string {
	var parts []string
	if t.Min != nil {
		parts = append(parts, fmt.Sprintf(">= %g", *t.Min))
	}
	if t.Max != nil {
		parts = append(parts, fmt.Sprintf("<= %g", *t.Max))
	}
	return strings.Join(parts, ", ")
}

// met reports whether a figure is within the target's bounds. A figure without
// values, NaN, is not.
func (t targetSpec) met(figure float64) bool {
	if math.IsNaN(figure) {
		return false
	}
	return (t.Min == nil || figure >= *t.Min) && (t.Max == nil || figure <= *t.Max)
}

// add adds a variant's figures to the rows. Only the product's figures determine
// the verdicts.
func (r *result) add(s *scenario, variant string, product bool, m samplesByCase) {
	r.Variants = append(r.Variants, variant)
	for i, t := range s.Target {
		figure := t.figure(s, m)
		r.Rows[i].Figures = append(r.Rows[i].Figures, value(figure))
		if product && t.text() != "" {
			r.Rows[i].Verdict = verdictOf(t.met(figure))
		}
	}
	for _, c := range s.Case {
		for _, a := range s.Account {
			r.Accounts = append(r.Accounts, figuresOf(s, variant, c, a, m[c.Name]))
		}
	}
}

// figure returns the figure of a target.
func (t targetSpec) figure(s *scenario, m samplesByCase) float64 {
	if t.Each {
		return t.worst(s, m)
	}
	figure := measures[t.Measure](t.view(s, m[t.Case]))
	if t.RelativeTo != "" {
		figure /= measures[t.Measure](t.view(s, m[t.RelativeTo]))
	}
	if t.PerShare {
		figure /= s.claimedShare(t.Accounts)
	}
	return figure
}

// worst returns the worst figure of the target's accounts.
func (t targetSpec) worst(s *scenario, m samplesByCase) float64 {
	worst := math.NaN()
	for _, id := range t.Accounts {
		one := t
		one.Each, one.Accounts = false, []string{id}
		figure := one.figure(s, m)
		if math.IsNaN(worst) || t.Max == nil && figure < worst || t.Max != nil && figure > worst {
			worst = figure
		}
	}
	return worst
}

// claimedShare returns the accounts' claimed share, as a fraction of all claimed
// shares if these exceed 1.
func (s *scenario) claimedShare(accounts []string) float64 {
	var claimed, sum float64
	for _, a := range s.Account {
		sum += a.Share
		if slices.Contains(accounts, a.ID) {
			claimed += a.Share
		}
	}
	return claimed / max(sum, 1)
}

func verdictOf(met bool) string {
	if met {
		return "met"
	}
	return "MISSED"
}

func figuresOf(s *scenario, variant string, c caseSpec, a accountSpec, samples []*sample) accountFigures {
	v := targetSpec{Accounts: []string{a.ID}}.view(s, samples)
	figure := func(measure string) value { return value(measures[measure](v)) }
	return accountFigures{
		Variant: variant, Case: c.Name, Account: a.ID, Rank: a.Rank, Sent: len(v.counted()),
		Goodput: figure("goodput"), TokenShare: figure("token_part"), RefusedFraction: figure("refused_part"),
		FirstTokenP50: figure("first_token_p50"), FirstTokenP95: figure("first_token_p95"), BetweenP95: figure("between_p95"),
	}
}

func (r result) print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "\n%s (%s, seed %d)\n", r.Title, r.File, r.Seed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "  row\ttarget\t%s\t\n", strings.Join(r.Variants, "\t"))
	for _, x := range r.Rows {
		_, _ = fmt.Fprintf(w, "  %s\t%s\t", x.Name, x.Target)
		for _, f := range x.Figures {
			_, _ = fmt.Fprintf(w, "%s\t", f)
		}
		_, _ = fmt.Fprintf(w, "%s\n", x.Verdict)
	}
	_ = w.Flush()
}

// String returns the figure with three decimals, or without any from 100. It
// returns "never" for an event that did not occur and "-" if no request was
// counted.
func (v value) String() string {
	switch f := float64(v); {
	case math.IsNaN(f):
		return "-"
	case math.IsInf(f, 0):
		return "never"
	case f >= 100:
		return fmt.Sprintf("%.0f", f)
	default:
		return fmt.Sprintf("%.3f", f)
	}
}

func printSummary(out io.Writer, results []result) {
	met, missed := 0, 0
	for _, r := range results {
		for _, x := range r.Rows {
			switch x.Verdict {
			case "met":
				met++
			case "MISSED":
				missed++
			}
		}
	}
	_, _ = fmt.Fprintf(out, "\n%d targets met, %d MISSED\n", met, missed)
}

// writeJSON writes the results to a file unless the path is empty.
func writeJSON(path string, results []result) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
