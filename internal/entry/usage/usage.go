// Package usage counts requests per rank and result, tokens per account, retries
// and open streams, and measures token latencies per rank.
package usage

import (
	"sort"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// maxAccounts bounds the accounts that are counted by name. Further accounts share
// one count, which keeps the memory within 32 MB at 39,000 accounts.
const maxAccounts = 4096

// maxMetricAccounts bounds the accounts that have a metric of their own.
const maxMetricAccounts = 100

// OtherAccounts is the name under which accounts beyond the bounds are counted.
const OtherAccounts fleet.ClientAccount = "other accounts"

// Account holds what one account has used since the start of the process.
type Account struct {
	Account          fleet.ClientAccount
	Requests         int64
	PromptTokens     int64
	CompletionTokens int64
	// metric is the value of the account tag on the account's token counter.
	metric string
}

// Usage holds the counters. It is safe for concurrent use.
type Usage struct {
	scope tally.Scope
	// The histograms are looked up once: a lookup by tags allocates, and the gap
	// is recorded for every token.
	firstToken [fleet.RankCount]tally.Histogram
	tokenGap   [fleet.RankCount]tally.Histogram

	mu          sync.Mutex
	accounts    map[fleet.ClientAccount]*Account
	openStreams int
}

// New returns a Usage that exports its metrics through scope.
func New(scope tally.Scope) *Usage {
	u := &Usage{scope: scope, accounts: map[fleet.ClientAccount]*Account{}}
	for rank := range fleet.RankCount {
		ranked := scope.Tagged(map[string]string{"rank": fleet.Rank(rank).String()})
		u.firstToken[rank] = ranked.Histogram("first_token", firstTokenBuckets)
		u.tokenGap[rank] = ranked.Histogram("between_tokens", tokenGapBuckets)
	}
	return u
}

var firstTokenBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 420 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, 10 * time.Second,
}

var tokenGapBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond,
	76 * time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second,
}

// RecordFirstToken records the time from the arrival of a request to its first
// part.
func (u *Usage) RecordFirstToken(rank fleet.Rank, d time.Duration) {
	u.firstToken[rank].RecordDuration(d)
}

// RecordTokenGap records the time between two parts.
func (u *Usage) RecordTokenGap(rank fleet.Rank, d time.Duration) {
	u.tokenGap[rank].RecordDuration(d)
}

// CountRetry counts a retry.
func (u *Usage) CountRetry() { u.scope.Counter("retries").Inc(1) }

// AddStreams changes the number of open streams by delta: 1 at the start of a
// stream and -1 at its end.
func (u *Usage) AddStreams(delta int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.openStreams += delta
	u.scope.Gauge("streams_open").Update(float64(u.openStreams))
}

// CountRequest counts a finished request by its result. The rank is empty if the
// request was refused before its account was known.
func (u *Usage) CountRequest(rank, result string) {
	u.scope.Tagged(map[string]string{"rank": rank, "result": result}).Counter("requests").Inc(1)
}

// AddTokens counts a request and its tokens for its account.
func (u *Usage) AddTokens(account fleet.ClientAccount, prompt, completion int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.accounts[account] == nil && len(u.accounts) >= maxAccounts {
		account = OtherAccounts
	}
	a := u.accounts[account]
	if a == nil {
		a = &Account{Account: account, metric: string(account)}
		if len(u.accounts) >= maxMetricAccounts {
			a.metric = string(OtherAccounts)
		}
		u.accounts[account] = a
	}
	a.Requests++
	a.PromptTokens += int64(prompt)
	a.CompletionTokens += int64(completion)
	u.scope.Tagged(map[string]string{"account": a.metric}).Counter("tokens").Inc(int64(prompt + completion))
}

// Accounts returns the counts of all accounts, sorted by account.
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
