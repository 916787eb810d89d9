package dynamic

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Compute returns the configuration of a set of valid documents. The result
// depends on the set alone and not on the order. When two documents define the
// same account id or key hash, the account of the document with the lower
// revision is in force, and the lower name at equal revisions. An account with
// an unknown template claims neither its id nor its key.
func Compute(documents []wire.Document) *Effective { return NewComputer().Compute(documents) }

// compute builds the configuration with the parsed documents that c keeps.
func (c *Computer) compute(sources []Source) *Effective {
	b := newBuilder()
	b.computer = c
	for _, s := range inOrder(sources) {
		b.add(s)
	}
	b.checkTemplates()
	b.addEngines()
	b.addAccounts()
	b.scaleShares()
	return b.effective
}

// inOrder returns the documents by revision, name and body.
func inOrder(sources []Source) []Source {
	return slices.SortedFunc(slices.Values(sources), func(x, y Source) int {
		order := cmp.Or(cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Name, y.Name))
		if order == 0 {
			return cmp.Compare(x.Body(), y.Body())
		}
		return order
	})
}

type builder struct {
	computer  *Computer
	effective *Effective
	adapters  map[string]bool
	ranked    map[string]bool
	accounts  []Source
	engines   []wire.Document
}

func newBuilder() *builder {
	return &builder{
		effective: &Effective{
			Models:     map[string]Model{},
			Services:   map[string]Service{},
			Templates:  map[string]*Template{},
			Groups:     map[string]Group{},
			ShareScale: 1,
		},
		adapters: map[string]bool{},
		ranked:   map[string]bool{},
	}
}

func (b *builder) add(s Source) {
	kind, name, _ := strings.Cut(s.Name, "/")
	switch kind {
	case kindModel:
		b.addModel(name, s.document())
	case kindTemplate:
		b.addTemplate(name, s.document())
	case kindService:
		b.addService(name, s.document())
	case kindAccount:
		b.accounts = append(b.accounts, s)
	case kindGroup:
		b.addGroup(name, s.document())
	case kindEngine:
		b.engines = append(b.engines, s.document())
	}
}

// decode fills target without the line numbers that Validate needs. A document
// that does not decode is listed; a valid one always decodes.
func (b *builder) decode(d wire.Document, target any) bool {
	if err := toml.Unmarshal([]byte(d.Body), target); err != nil {
		b.inactive(d.Name, "document", "does not decode")
		return false
	}
	return true
}

func (b *builder) inactive(document, reference, reason string) {
	b.effective.Inactive = append(b.effective.Inactive, Inactive{Document: document, Reference: reference, Reason: reason})
}

func (b *builder) addModel(name string, d wire.Document) {
	var m modelSchema
	if !b.decode(d, &m) {
		return
	}
	b.effective.Models[name] = Model{Name: name, Adapters: m.Adapters, Versions: m.Versions}
	for _, adapter := range m.Adapters {
		b.adapters[adapter] = true
	}
}

func (b *builder) addService(name string, d wire.Document) {
	var s serviceSchema
	if !b.decode(d, &s) {
		return
	}
	service := Service{Name: name}
	for _, r := range s.Rules {
		service.Rules = append(service.Rules, Rule(r))
	}
	b.effective.Services[name] = service
}

// defaultWorth weighs the requests of a template that sets no worth.
const defaultWorth = 1

func (b *builder) addTemplate(name string, d wire.Document) {
	t := templateSchema{Worth: defaultWorth}
	if !b.decode(d, &t) {
		return
	}
	rank, err := fleet.ParseRank(t.Rank)
	if err != nil {
		b.inactive(d.Name, "rank "+t.Rank, "unknown rank")
		return
	}
	b.effective.Templates[name] = &Template{
		Name: name, Rank: rank, Share: t.Share,
		Models: t.Models, Adapters: t.Adapters, Services: t.Services,
		FirstToken: time.Duration(t.FirstToken), BetweenTokens: time.Duration(t.BetweenTokens),
		MaxAge: time.Duration(t.MaxAge), Worth: t.Worth,
	}
}

// checkTemplates removes references to what does not exist.
func (b *builder) checkTemplates() {
	for _, name := range sortedKeys(b.effective.Templates) {
		t := b.effective.Templates[name]
		t.Models = b.keep(name, "model", t.Models, func(n string) bool { _, ok := b.effective.Models[n]; return ok })
		t.Adapters = b.keep(name, "adapter", t.Adapters, func(n string) bool { return b.adapters[n] })
		t.Services = b.keep(name, "service", t.Services, func(n string) bool { _, ok := b.effective.Services[n]; return ok })
	}
}

func (b *builder) keep(template, kind string, names []string, exists func(string) bool) []string {
	var kept []string
	for _, n := range names {
		if exists(n) {
			kept = append(kept, n)
			continue
		}
		b.inactive(kindTemplate+"/"+template, kind+" "+n, kind+" does not exist")
	}
	return kept
}

func (b *builder) addAccounts() {
	var names []string
	all := &b.effective.accounts
	for _, d := range b.accounts {
		accounts, ok := b.computer.accounts(d)
		if !ok {
			b.inactive(d.Name, "document", "does not decode")
			continue
		}
		all.add(accounts, b.effective.Templates)
		names = append(names, d.Name)
	}
	all.index(func(r accountRef, reason string) { b.inactive(names[r.block], "account "+all.id(r), reason) })
}

// scaleShares adds in the order of ids, because a floating-point sum depends
// on its order.
func (b *builder) scaleShares() {
	sum := 0.0
	for _, r := range b.effective.accounts.byID {
		sum += b.effective.accounts.share(r)
	}
	if sum > 1 {
		b.effective.ShareScale = 1 / sum
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
