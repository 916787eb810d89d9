package dynamic

import (
	"bytes"
	"cmp"
	"iter"
	"slices"
	"sort"
	"strings"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// block holds the accounts of one document. It is immutable. Successive configurations
// share blocks, so a change rebuilds only the indexes.
type block struct {
	keys []KeyHash
	// ids is the concatenation of all ids; idEnds holds the end offset of each.
	ids    string
	idEnds []uint32
	// templates holds the index of each account's template in names.
	templates []uint32
	names     []string
	// shares holds the shares that override the template's, by account index.
	shares map[uint32]float64
}

func (b *block) id(i uint32) string {
	begin := uint32(0)
	if i > 0 {
		begin = b.idEnds[i-1]
	}
	return b.ids[begin:b.idEnds[i]]
}

func (b *block) template(i uint32) string { return b.names[b.templates[i]] }

// accountRef identifies an account by its block and its index in the block.
type accountRef struct{ block, index uint32 }

// accounts holds the client accounts in force. Sorted indexes are used because maps
// need four times the memory, and two configurations exist during a change.
type accounts struct {
	blocks []*block
	// templates holds the template of each name of each block; nil if the template
	// does not exist.
	templates [][]*Template
	// byKey and byID hold the accounts sorted by key and by id.
	byKey, byID []accountRef
}

func (a *accounts) key(r accountRef) *KeyHash { return &a.blocks[r.block].keys[r.index] }
func (a *accounts) id(r accountRef) string    { return a.blocks[r.block].id(r.index) }
func (a *accounts) template(r accountRef) *Template {
	return a.templates[r.block][a.blocks[r.block].templates[r.index]]
}

func (a *accounts) share(r accountRef) float64 {
	if share, ok := a.blocks[r.block].shares[r.index]; ok {
		return share
	}
	return a.template(r).Share
}

func (a *accounts) account(r accountRef, scale float64) *Account {
	share := a.share(r)
	return &Account{ID: fleet.ClientAccount(a.id(r)), Template: a.template(r), Share: share, EffectiveShare: share * scale}
}

// add adds the accounts of a document and resolves their templates.
func (a *accounts) add(b *block, templates map[string]*Template) {
	resolved := make([]*Template, len(b.names))
	for i, name := range b.names {
		resolved[i] = templates[name]
	}
	a.blocks = append(a.blocks, b)
	a.templates = append(a.templates, resolved)
}

// all iterates over every account in document order.
func (a *accounts) all() iter.Seq[accountRef] {
	return func(yield func(accountRef) bool) {
		for n, b := range a.blocks {
			for i := range b.keys {
				if !yield(accountRef{uint32(n), uint32(i)}) {
					return
				}
			}
		}
	}
}

// index fills the indexes with the accounts in force and calls inactive for the
// others. An account is not in force if its template does not exist or if an earlier
// account in force has the same id or key.
func (a *accounts) index(inactive func(r accountRef, reason string)) {
	n := 0
	for _, b := range a.blocks {
		n += len(b.keys)
	}
	a.byKey = make([]accountRef, 0, n)
	for r := range a.all() {
		if a.template(r) != nil {
			a.byKey = append(a.byKey, r)
		}
	}
	a.byID = slices.Clone(a.byKey)
	slices.SortFunc(a.byKey, func(x, y accountRef) int { return bytes.Compare(a.key(x)[:], a.key(y)[:]) })
	slices.SortFunc(a.byID, func(x, y accountRef) int { return cmp.Compare(a.id(x), a.id(y)) })
	c := conflicts{accounts: a, duplicates: map[accountRef]bool{}, ids: map[string]bool{}, keys: map[KeyHash]bool{}}
	markDuplicates(c, a.byKey, func(x, y accountRef) bool { return *a.key(x) == *a.key(y) })
	markDuplicates(c, a.byID, func(x, y accountRef) bool { return a.id(x) == a.id(y) })
	excluded := map[accountRef]bool{}
	for r := range a.all() {
		if reason := c.reason(r); reason != "" {
			inactive(r, reason)
			excluded[r] = true
		}
	}
	if len(excluded) > 0 {
		isExcluded := func(r accountRef) bool { return excluded[r] }
		a.byKey, a.byID = slices.DeleteFunc(a.byKey, isExcluded), slices.DeleteFunc(a.byID, isExcluded)
	}
}

// conflicts resolves which of several accounts with the same id or key is in force.
type conflicts struct {
	accounts   *accounts
	duplicates map[accountRef]bool
	ids        map[string]bool
	keys       map[KeyHash]bool
}

// markDuplicates marks the accounts that equal a neighbor in a sorted index.
func markDuplicates(c conflicts, index []accountRef, equal func(x, y accountRef) bool) {
	for i := 1; i < len(index); i++ {
		if equal(index[i-1], index[i]) {
			c.duplicates[index[i-1]], c.duplicates[index[i]] = true, true
		}
	}
}

// reason returns why an account is not in force, or "" if it is. It must be called in
// document order.
func (c conflicts) reason(r accountRef) string {
	a := c.accounts
	switch {
	case a.template(r) == nil:
		return "template " + a.blocks[r.block].template(r.index) + " does not exist"
	case !c.duplicates[r]:
		return ""
	case c.ids[a.id(r)]:
		return "a document of a lower revision has the same id"
	case c.keys[*a.key(r)]:
		return "a document of a lower revision has the same key"
	}
	c.ids[a.id(r)], c.keys[*a.key(r)] = true, true
	return ""
}

// AccountByKey returns the client account to which a bearer key belongs, and whether
// there is one.
func (e *Effective) AccountByKey(key string) (*Account, bool) {
	hash, a := HashKey(key), &e.accounts
	i, found := sort.Find(len(a.byKey), func(i int) int { return bytes.Compare(hash[:], a.key(a.byKey[i])[:]) })
	if !found {
		return nil, false
	}
	return a.account(a.byKey[i], e.ShareScale), true
}

// AccountByID returns the client account with the given id, and whether there is one.
func (e *Effective) AccountByID(id fleet.ClientAccount) (*Account, bool) {
	a := &e.accounts
	i, found := sort.Find(len(a.byID), func(i int) int { return strings.Compare(string(id), a.id(a.byID[i])) })
	if !found {
		return nil, false
	}
	return a.account(a.byID[i], e.ShareScale), true
}

// Accounts iterates over the client accounts sorted by id.
func (e *Effective) Accounts() iter.Seq[*Account] {
	return func(yield func(*Account) bool) {
		for _, r := range e.accounts.byID {
			if !yield(e.accounts.account(r, e.ShareScale)) {
				return
			}
		}
	}
}
