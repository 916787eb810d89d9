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

// Compute returns the configuration that results from a set of valid documents. The
// result depends on the set alone and not on the order. When two documents define the
// same account id or key hash, the account from the document with the lower revision
// is in force; at equal revisions, the one from the document with the lower name. An
// account with an unknown template claims neither its id nor its key.
func Compute(documents []wire.Document) *Effective { return NewEvaluator().Compute(documents) }

// compute builds the configuration and reuses the accounts that e has cached.
func (e *Evaluator) compute(sources []Source) *Effective {
	b := newBuilder()
	b.evaluator = e
	for _, s := range sortSources(sources) {
		b.add(s)
	}
	b.checkTemplates()
	b.addEngines()
	b.addAccounts()
	b.scaleShares()
	return b.effective
}

// sortSources returns the documents sorted by revision, name and body.
func sortSources(sources []Source) []Source {
	return slices.SortedFunc(slices.Values(sources), func(x, y Source) int {
		order := cmp.Or(cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Name, y.Name))
		if order == 0 {
			return cmp.Compare(x.Body(), y.Body())
		}
		return order
	})
}

// builder collects the parts of a configuration.
type builder struct {
	evaluator     *Evaluator
	effective     *Effective
	adapters      map[string]bool
	groupedAgents map[string]bool
	accounts      []Source
	engines       []wire.Document
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
		adapters:      map[string]bool{},
		groupedAgents: map[string]bool{},
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

// decode decodes a document into target, without the line numbers that Validate
// needs. A document that does not decode is listed as inactive; a valid one always
// decodes.
func (b *builder) decode(d wire.Document, target any) bool {
	if err := toml.Unmarshal([]byte(d.Body), target); err != nil {
		b.addInactive(d.Name, "document", "does not decode")
		return false
	}
	return true
}

func (b *builder) addInactive(document, reference, reason string) {
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

// defaultWorth is the weight of requests whose template sets no worth.
const defaultWorth = 1

func (b *builder) addTemplate(name string, d wire.Document) {
	t := templateSchema{Worth: defaultWorth}
	if !b.decode(d, &t) {
		return
	}
	rank, err := fleet.ParseRank(t.Rank)
	if err != nil {
		b.addInactive(d.Name, "rank "+t.Rank, "unknown rank")
		return
	}
	b.effective.Templates[name] = &Template{
		Name: name, Rank: rank, Share: t.Share,
		Models: t.Models, Adapters: t.Adapters, Services: t.Services,
		FirstToken: time.Duration(t.FirstToken), BetweenTokens: time.Duration(t.BetweenTokens),
		MaxAge: time.Duration(t.MaxAge), Worth: t.Worth,
	}
}

// checkTemplates removes references to models, adapters and services that do not
// exist, and lists them as inactive.
func (b *builder) checkTemplates() {
	for _, name := range sortedKeys(b.effective.Templates) {
		t := b.effective.Templates[name]
		t.Models = b.filterReferences(name, "model", t.Models, func(n string) bool { _, ok := b.effective.Models[n]; return ok })
		t.Adapters = b.filterReferences(name, "adapter", t.Adapters, func(n string) bool { return b.adapters[n] })
		t.Services = b.filterReferences(name, "service", t.Services, func(n string) bool { _, ok := b.effective.Services[n]; return ok })
	}
}

func (b *builder) filterReferences(template, kind string, names []string, exists func(string) bool) []string {
	var kept []string
	for _, n := range names {
		if exists(n) {
			kept = append(kept, n)
			continue
		}
		b.addInactive(kindTemplate+"/"+template, kind+" "+n, kind+" does not exist")
	}
	return kept
}

func (b *builder) addAccounts() {
	var names []string
	all := &b.effective.accounts
	for _, d := range b.accounts {
		accounts, ok := b.evaluator.accounts(d)
		if !ok {
			b.addInactive(d.Name, "document", "does not decode")
			continue
		}
		all.add(accounts, b.effective.Templates)
		names = append(names, d.Name)
	}
	all.index(func(r accountRef, reason string) { b.addInactive(names[r.block], "account "+all.id(r), reason) })
}

// scaleShares sets the factor that reduces the sum of all claimed shares to at most 1.
// It adds them in the order of ids, because a floating-point sum depends on the order.
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
