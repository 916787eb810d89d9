package peers

import (
	"sync"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/retry"
)

const (
	// recordLifetime is how long a RetryRecord is kept.
	recordLifetime = 30 * time.Second
	// maxRecordOwners and maxOwnerServices bound the records that a process keeps.
	maxRecordOwners  = 1024
	maxOwnerServices = 64
)

// RetryLedger keeps the RetryRecords of gateways, for their successors at the same control
// address. It is safe for concurrent use.
type RetryLedger struct {
	now func() time.Time

	mu     sync.Mutex
	owners map[string]*ownerRecords
}

// ownerRecords holds the latest record of each service of one gateway. keeper is true if
// this process is a keeper of its counts now.
type ownerRecords struct {
	at       time.Time
	keeper   bool
	services map[string]keptRecord
}

type keptRecord struct {
	RetryRecord
	at time.Time
}

// NewRetryLedger returns an empty ledger.
func NewRetryLedger() *RetryLedger {
	return &RetryLedger{now: time.Now, owners: map[string]*ownerRecords{}}
}

// Keep stores a record that was just received, unless a later one is known.
func (l *RetryLedger) Keep(m *RetryRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	o := l.owners[m.Owner]
	if o == nil {
		l.removeOld(now)
		if len(l.owners) >= maxRecordOwners {
			return
		}
		o = &ownerRecords{services: map[string]keptRecord{}}
		l.owners[m.Owner] = o
	}
	old, known := o.services[m.Service]
	if known && old.Start == m.Start && old.Sequence >= m.Sequence || !known && len(o.services) >= maxOwnerServices {
		return
	}
	o.at, o.keeper = now, m.Keeper
	o.services[m.Service] = keptRecord{RetryRecord: *m, at: now}
}

func (l *RetryLedger) removeOld(now time.Time) {
	for owner, o := range l.owners {
		if now.Sub(o.at) > recordLifetime {
			delete(l.owners, owner)
		}
	}
}

// Answer returns the records of a gateway, as the reply to a RetryQuery.
func (l *RetryLedger) Answer(q *RetryQuery) []*RetryRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.owners[q.Owner]
	if o == nil {
		return nil
	}
	now := l.now()
	out := make([]*RetryRecord, 0, len(o.services))
	for _, k := range o.services {
		m := k.RetryRecord
		m.AgeMS, m.SilentMS, m.Keeper = k.age(now).Milliseconds(), now.Sub(o.at).Milliseconds(), o.keeper
		out = append(out, &m)
	}
	return out
}

// Add adds what the gateways have counted for a service of budgets.
func (l *RetryLedger) Add(to *retry.Counts, service string, budgets *retry.ServiceBudgets) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, o := range l.owners {
		if k, ok := o.services[service]; ok {
			budgets.Add(to, k.history(), k.age(now))
		}
	}
}

func (k *keptRecord) history() retry.History {
	return retry.History{Service: k.Service, Requests: k.Requests, Retries: k.Retries}
}

// age returns how long ago the record was made.
func (k *keptRecord) age(now time.Time) time.Duration {
	return now.Sub(k.at) + time.Duration(k.AgeMS)*time.Millisecond
}
