// Package usage counts requests, tokens and latencies per rank and account.
package usage

import (
	"sort"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// maxAccounts bounds the accounts that are counted by name. Later ones are
// counted together, so that memory stays within 32 MB at 39,000 accounts.
const maxAccounts = 4096

// maxMetricAccounts bounds the accounts that have counters of their own.
const maxMetricAccounts = 100

// Other is the name under which the accounts beyond the bound are counted.
const Other fleet.ClientAccount = "other accounts"

// Account is what one account used since the start of the process.
type Account struct {
	Account          fleet.ClientAccount
	Requests         int64
	PromptTokens     int64
	CompletionTokens int64
	// metric is the name that the account's counter carries.
	metric string
}

// Usage counts. It is safe for concurrent use.
type Usage struct {
	scope tally.Scope
	// The histograms are looked up once: a lookup by tags allocates, and every
	// token is counted.
	firstToken    [fleet.RankCount]tally.Histogram
	betweenTokens [fleet.RankCount]tally.Histogram

	mu       sync.Mutex
	accounts map[fleet.ClientAccount]*Account
	open     int
}

// New returns counters that are exported over scope.
func New(scope tally.Scope) *Usage {
	u := &Usage{scope: scope, accounts: map[fleet.ClientAccount]*Account{}}
	for rank := range fleet.RankCount {
		ranked := scope.Tagged(map[string]string{"rank": fleet.Rank(rank).String()})
		u.firstToken[rank] = ranked.Histogram("first_token", firstTokenBuckets)
		u.betweenTokens[rank] = ranked.Histogram("between_tokens", betweenTokensBuckets)
	}
	return u
}

var firstTokenBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 420 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, 10 * time.Second,
}

var betweenTokensBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond,
	76 * time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second,
}

// FirstToken notes the time from arrival to the first part.
func (u *Usage) FirstToken(rank fleet.Rank, d time.Duration) {
	u.firstToken[rank].RecordDuration(d)
}

// BetweenTokens notes the time between two parts.
func (u *Usage) BetweenTokens(rank fleet.Rank, d time.Duration) {
	u.betweenTokens[rank].RecordDuration(d)
}

// Retried counts a retry.
func (u *Usage) Retried() { u.scope.Counter("retries").Inc(1) }

// Stream counts an open stream; delta is 1 at its start and -1 at its end.
func (u *Usage) Stream(delta int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open += delta
	u.scope.Gauge("streams_open").Update(float64(u.open))
}

// Finished counts a request by its result. The rank is empty if the request was
// refused before its account was known.
func (u *Usage) Finished(rank, result string) {
	u.scope.Tagged(map[string]string{"rank": rank, "result": result}).Counter("requests").Inc(1)
}

// Used adds the tokens of a request to its account.
func (u *Usage) Used(account fleet.ClientAccount, prompt, completion int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.accounts[account] == nil && len(u.accounts) >= maxAccounts {
		account = Other
	}
	a := u.accounts[account]
	if a == nil {
		a = &Account{Account: account, metric: string(account)}
		if len(u.accounts) >= maxMetricAccounts {
			a.metric = string(Other)
		}
		u.accounts[account] = a
	}
	a.Requests++
	a.PromptTokens += int64(prompt)
	a.CompletionTokens += int64(completion)
	u.scope.Tagged(map[string]string{"account": a.metric}).Counter("tokens").Inc(int64(prompt + completion))
}

// Accounts returns the counts, ordered by account.
func (u *Usage) Accounts() []Account {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]Account, 0, len(u.accounts))
	for _, a := range u.accounts {
		out = append(out, *a)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Account < out[j].Account })
	return out
}
