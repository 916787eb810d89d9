package main

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// unanswered is the first-token latency of requests without a token. It makes
// refusals count as missed targets.
const unanswered = time.Minute

// measures maps the measures that a target can name to their functions.
var measures = map[string]func(view) float64{
	// Percentiles 50, 95 and 99 of the seconds from the scheduled arrival to the
	// first token, of all requests sent. Requests without a token count as 60 s.
	"first_token_p50": func(v view) float64 { return quantile(v.firstTokens(), 50) },
	"first_token_p95": func(v view) float64 { return quantile(v.firstTokens(), 95) },
	"first_token_p99": func(v view) float64 { return quantile(v.firstTokens(), 99) },
	// The same as first_token_p95, of requests with a token only.
	"answered_first_token_p95": func(v view) float64 { return quantile(v.answeredFirstTokens(), 95) },
	// 95th percentile of the seconds between tokens.
	"between_p95": func(v view) float64 { return quantile(v.gaps(), 95) },
	// Fraction of the requests sent that were answered in full.
	"answered_part": view.answeredFraction,
	// Tokens per second that reached callers, without those of refused requests.
	"goodput": func(v view) float64 { return float64(v.tokens(v.from, v.to)) / (v.to - v.from).Seconds() },
	// Tokens per second of the requests sent after the warm-up and answered in
	// full, regardless of when the tokens arrived.
	"answered_tokens": func(v view) float64 { return float64(v.answeredTokens()) / (v.to - v.from).Seconds() },
	// Fraction of all tokens that reached callers.
	"token_part": func(v view) float64 { return ratio(v.tokens(v.from, v.to), v.all().tokens(v.from, v.to)) },
	// Fraction of the requests sent that were refused.
	"refused_part": func(v view) float64 { return ratio(v.refusedCount(), len(v.counted())) },
	// 95th percentile of the seconds from the scheduled arrival to a refusal.
	"refusal_p95": func(v view) float64 { return quantile(v.refusals(), 95) },
	// Fraction of the refusals with the verdict not_run and a Retry-After header.
	"refusal_not_run": view.refusalNotRun,
	// Seconds from the start of the selected account's load to the start of the
	// first one-second window in which it got 95% of its claimed share.
	"time_to_share": view.timeToShare,
}

func measureNames() []string {
	var names []string
	for name := range measures {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// view is a selection of a case's requests.
type view struct {
	samples  []*sample
	selected func(*sample) bool
	// from and to are the interval of the counted arrivals and tokens.
	from, to time.Duration
}

func (t targetSpec) view(s *scenario, samples []*sample) view {
	return view{samples: samples, from: s.Warmup.Std(), to: s.Duration.Std(), selected: func(x *sample) bool {
		return (t.Rank == "" || x.account.Rank == t.Rank) && (len(t.Accounts) == 0 || slices.Contains(t.Accounts, x.account.ID))
	}}
}

// all returns the view without a selection.
func (v view) all() view {
	v.selected = func(*sample) bool { return true }
	return v
}

// counted returns the selected requests that were scheduled after the warm-up.
func (v view) counted() []*sample {
	var out []*sample
	for _, x := range v.samples {
		if v.selected(x) && x.arrival >= v.from {
			out = append(out, x)
		}
	}
	return out
}

func (v view) firstTokens() []time.Duration {
	var out []time.Duration
	for _, x := range v.counted() {
		if len(x.tokens) == 0 {
			out = append(out, unanswered)
		} else {
			out = append(out, x.tokens[0]-x.arrival)
		}
	}
	return out
}

func (v view) answeredFirstTokens() []time.Duration {
	return slices.DeleteFunc(v.firstTokens(), func(d time.Duration) bool { return d == unanswered })
}

func (v view) gaps() []time.Duration {
	var out []time.Duration
	for _, x := range v.counted() {
		for i := 1; i < len(x.tokens); i++ {
			out = append(out, x.tokens[i]-x.tokens[i-1])
		}
	}
	return out
}

// answeredFraction returns the fraction of requests answered in full. Requests that
// the end of the case canceled are excluded.
func (v view) answeredFraction() float64 {
	answered, ended := 0, 0
	for _, x := range v.counted() {
		if x.complete {
			answered++
		}
		if x.complete || x.refused {
			ended++
		}
	}
	return ratio(answered, ended)
}

// tokens counts the tokens that reached callers in an interval. Tokens of requests
// that the end of the case canceled count, those of refused requests do not.
func (v view) tokens(from, to time.Duration) int {
	n := 0
	for _, x := range v.samples {
		if !v.selected(x) || x.refused {
			continue
		}
		for _, at := range x.tokens {
			if at >= from && at < to {
				n++
			}
		}
	}
	return n
}

func (v view) answeredTokens() int {
	n := 0
	for _, x := range v.counted() {
		if x.complete {
			n += len(x.tokens)
		}
	}
	return n
}

func (v view) refusedCount() int { return len(v.refusals()) }

func (v view) refusals() []time.Duration {
	var out []time.Duration
	for _, x := range v.counted() {
		if x.refused {
			out = append(out, x.ended-x.arrival)
		}
	}
	return out
}

func (v view) refusalNotRun() float64 {
	n := 0
	for _, x := range v.counted() {
		if x.notRun {
			n++
		}
	}
	return ratio(n, v.refusedCount())
}

const (
	// shareWindow is the interval over which an account's share is measured;
	// shareStep is the resolution of the time to reach the share.
	shareWindow = time.Second
	shareStep   = 50 * time.Millisecond
	// shareReached is the fraction of the claimed share that counts as reached.
	shareReached = 0.95
)

func (v view) timeToShare() float64 {
	begin, share := v.beginAndShare()
	for at := begin; at+shareWindow <= v.to; at += shareStep {
		if ratio(v.tokens(at, at+shareWindow), v.all().tokens(at, at+shareWindow)) >= shareReached*share {
			return (at - begin).Seconds()
		}
	}
	return math.Inf(1)
}

// beginAndShare returns when the selected accounts' load begins and the sum of
// their claimed shares.
func (v view) beginAndShare() (begin time.Duration, share float64) {
	seen := map[string]bool{}
	for _, x := range v.samples {
		if v.selected(x) && !seen[x.account.ID] {
			seen[x.account.ID] = true
			begin = max(begin, x.account.Begin.Std())
			share += x.account.Share
		}
	}
	return begin, share
}

// quantile returns a quantile in seconds, or NaN without values.
func quantile(values []time.Duration, percent float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	const digits = 3
	h := hdrhistogram.New(1, (2 * unanswered).Microseconds(), digits)
	for _, d := range values {
		_ = h.RecordValue(max(1, d.Microseconds())) // never out of range: at most the case's duration
	}
	return time.Duration(h.ValueAtQuantile(percent) * int64(time.Microsecond)).Seconds()
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return math.NaN()
	}
	return float64(part) / float64(whole)
}
