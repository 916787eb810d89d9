package main

import (
	"fmt"
	"os"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
)

// scenario is the content of a scenario file.
type scenario struct {
	// Title describes what the scenario shows. Required.
	Title string `toml:"title"`
	// Seed is the random seed of the arrivals. Default 1, range 1 to 1000000.
	Seed int64 `toml:"seed"`
	// Duration is how long requests arrive in each case. Default "10s", range
	// 2s to 60s.
	Duration tomlfile.Duration `toml:"duration"`
	// Warmup is the initial part of the duration that measurements exclude.
	// Default "3s", range 0s to 30s, at least 1s below the duration.
	Warmup tomlfile.Duration `toml:"warmup"`
	// Drain is how long open requests may continue after the duration before they
	// are canceled and count as unanswered. Default "2s", range 0s to 60s.
	Drain tomlfile.Duration `toml:"drain"`
	// Deadline is the callers' timeout of each request. Default "8s", range 1s
	// to 60s.
	Deadline tomlfile.Duration `toml:"deadline"`

	Fleet   fleetSpec     `toml:"fleet"`
	Account []accountSpec `toml:"account"`
	Case    []caseSpec    `toml:"case"`
	Variant []variantSpec `toml:"variant"`
	Target  []targetSpec  `toml:"target"`
}

// fleetSpec is the size of the fleet and the timing model of its engines.
type fleetSpec struct {
	// Zones, Entries, Engines and Services are the numbers of availability zones,
	// entry VMs, model engines and plain services. Defaults 3, 3, 4, 2; ranges 1
	// to 8, 1 to 9, 1 to 16, 0 to 3.
	Zones    int `toml:"zones"`
	Entries  int `toml:"entries"`
	Engines  int `toml:"engines"`
	Services int `toml:"services"`
	// Slots is the maximum number of sequences in an engine's batch. Default 8,
	// range 1 to 256.
	Slots int `toml:"slots"`
	// StepBase is the fixed duration of a step, in which every sequence of the
	// batch gets one token; StepPerSequence is added for each sequence. Defaults
	// "20ms" and "1ms", ranges 1ms to 1s and 0s to 100ms.
	StepBase        tomlfile.Duration `toml:"step_base"`
	StepPerSequence tomlfile.Duration `toml:"step_per_sequence"`
	// PrefillPerToken is added to a step for each uncached prompt token of a
	// new sequence. Default "50us", range 0s to 10ms.
	PrefillPerToken tomlfile.Duration `toml:"prefill_per_token"`
}

// accountSpec is a client account with its load.
type accountSpec struct {
	// ID is the unique name of the account. Required.
	ID string `toml:"id"`
	// Rank is "top", "middle" or "bottom". Required.
	Rank string `toml:"rank"`
	// Share is the account's claimed fraction of the fleet. Default 0, range 0 to 1.
	Share float64 `toml:"share"`
	// Load is the offered load as a fraction of the fleet's capacity. Default 0,
	// range 0 to 100.
	Load float64 `toml:"load"`
	// Tokens is the length of a response in tokens. Default 30, range 1 to 1000.
	Tokens int `toml:"tokens"`
	// PromptBytes is the length of a prompt. Default 200, range 40 to 65536.
	// Prompts share no common prefix.
	PromptBytes int `toml:"prompt_bytes"`
	// Entries is the number of entry VMs that the account's callers use, beginning
	// with the first. Default 0: all of them. Range 0 to 9.
	Entries int `toml:"entries"`
	// Begin is the earliest time of the account's first request in a case. Default
	// "0s", range 0s to 60s.
	Begin tomlfile.Duration `toml:"begin"`
	// MaxAge is the age from which bottom-rank requests are served next. Default
	// "0s": none. Range 0s to 60s.
	MaxAge tomlfile.Duration `toml:"max_age"`
}

// caseSpec is one phase of load. The cases of a scenario run one after the other
// on the same fleet. A scenario without cases has one named "load" with factor 1.
type caseSpec struct {
	// Name names the case. Required.
	Name string `toml:"name"`
	// Factor multiplies every account's load. Default 1, range 0 to 100.
	Factor *float64 `toml:"factor"`
	// Factors multiply the load of single accounts instead of Factor. Range 0 to
	// 100 each.
	Factors map[string]float64 `toml:"factors"`
}

// variantSpec is the product or a baseline.
type variantSpec struct {
	// Name is the heading of the variant's column in the table. Required. The
	// first variant is the product, to which the targets apply.
	Name string `toml:"name"`
	// Ordering is the value of the agents' setting queue.ordering. Default "fair".
	Ordering string `toml:"ordering"`
	// Routing is the value of the entries' setting routing. Default "scored".
	Routing string `toml:"routing"`
}

// targetSpec is one row of the table.
type targetSpec struct {
	// Name describes the row. Required.
	Name string `toml:"name"`
	// Case is the case that is measured. Default: the first one.
	Case string `toml:"case"`
	// Measure is one of the measures of figure.go. Required.
	Measure string `toml:"measure"`
	// Rank and Accounts select the requests of a rank and of accounts. Default:
	// all.
	Rank     string   `toml:"rank"`
	Accounts []string `toml:"accounts"`
	// Each measures every one of Accounts separately and reports the worst figure:
	// the lowest, or with Max the highest. Default false.
	Each bool `toml:"each"`
	// PerShare divides the figure by the accounts' fraction of all claimed shares.
	// Default false.
	PerShare bool `toml:"per_share"`
	// RelativeTo divides the figure by the same figure of another case.
	RelativeTo string `toml:"relative_to"`
	// Min and Max are the bounds of the figure, in the measure's unit. A row
	// without either is informational.
	Min *float64 `toml:"min"`
	Max *float64 `toml:"max"`
}

func defaultScenario() scenario {
	return scenario{
		Seed: 1, Duration: seconds(10), Warmup: seconds(3), Drain: seconds(2), Deadline: seconds(8),
		Fleet: fleetSpec{
			Zones: 3, Entries: 3, Engines: 4, Services: 2, Slots: 8,
			StepBase:        tomlfile.Duration(20 * time.Millisecond),
			StepPerSequence: tomlfile.Duration(time.Millisecond),
			PrefillPerToken: tomlfile.Duration(50 * time.Microsecond),
		},
	}
}

func seconds(n int) tomlfile.Duration { return tomlfile.Duration(time.Duration(n) * time.Second) }

// loadScenario reads and checks a scenario file.
func loadScenario(path string) (scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return scenario{}, err
	}
	return parseScenario(path, data)
}

func parseScenario(name string, data []byte) (scenario, error) {
	s := defaultScenario()
	f, err := tomlfile.Decode(name, data, &s)
	if err != nil {
		return scenario{}, err
	}
	s.fillDefaults()
	s.check(f)
	return s, f.Err()
}

// fillDefaults sets the defaults inside arrays of tables.
func (s *scenario) fillDefaults() {
	for i := range s.Account {
		a := &s.Account[i]
		setDefault(&a.Tokens, 30)
		setDefault(&a.PromptBytes, 200)
	}
	if len(s.Case) == 0 {
		s.Case = []caseSpec{{Name: "load"}}
	}
	for i := range s.Variant {
		v := &s.Variant[i]
		setDefault(&v.Ordering, "fair")
		setDefault(&v.Routing, "scored")
	}
	for i := range s.Target {
		setDefault(&s.Target[i].Case, s.Case[0].Name)
	}
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

func (s *scenario) check(f *tomlfile.File) {
	f.Required("title", s.Title, "a text")
	tomlfile.InRange(f, "seed", s.Seed, 1, 1000000)
	f.DurationInRange("duration", s.Duration, 2*time.Second, time.Minute)
	f.DurationInRange("warmup", s.Warmup, 0, min(30*time.Second, s.Duration.Std()-time.Second))
	f.DurationInRange("drain", s.Drain, 0, time.Minute)
	f.DurationInRange("deadline", s.Deadline, time.Second, time.Minute)
	s.Fleet.check(f)
	for i, a := range s.Account {
		a.check(f, fmt.Sprintf("account[%d].", i))
	}
	for i, c := range s.Case {
		f.Required(fmt.Sprintf("case[%d].name", i), c.Name, "a name")
		s.checkFactors(f, fmt.Sprintf("case[%d].", i), c)
	}
	if len(s.Variant) == 0 {
		f.Add("variant", "at least one table", "is required")
	}
	for i, v := range s.Variant {
		key := fmt.Sprintf("variant[%d].", i)
		f.Required(key+"name", v.Name, "a name")
		f.OneOf(key+"ordering", v.Ordering, "fair", "fifo", "strict", "token_buckets")
		f.OneOf(key+"routing", v.Routing, "scored", "round_robin", "least_loaded", "two_choices")
	}
	for i, t := range s.Target {
		s.checkTarget(f, fmt.Sprintf("target[%d].", i), t)
	}
}

func (f fleetSpec) check(file *tomlfile.File) {
	tomlfile.InRange(file, "fleet.zones", f.Zones, 1, 8)
	tomlfile.InRange(file, "fleet.entries", f.Entries, 1, 9)
	tomlfile.InRange(file, "fleet.engines", f.Engines, 1, 16)
	tomlfile.InRange(file, "fleet.services", f.Services, 0, 3)
	tomlfile.InRange(file, "fleet.slots", f.Slots, 1, 256)
	file.DurationInRange("fleet.step_base", f.StepBase, time.Millisecond, time.Second)
	file.DurationInRange("fleet.step_per_sequence", f.StepPerSequence, 0, 100*time.Millisecond)
	file.DurationInRange("fleet.prefill_per_token", f.PrefillPerToken, 0, 10*time.Millisecond)
}

func (a accountSpec) check(f *tomlfile.File, key string) {
	f.Required(key+"id", a.ID, "a name")
	f.OneOf(key+"rank", a.Rank, "top", "middle", "bottom")
	tomlfile.InRange(f, key+"share", a.Share, 0, 1)
	tomlfile.InRange(f, key+"load", a.Load, 0, 100)
	tomlfile.InRange(f, key+"tokens", a.Tokens, 1, 1000)
	tomlfile.InRange(f, key+"prompt_bytes", a.PromptBytes, 40, 65536)
	tomlfile.InRange(f, key+"entries", a.Entries, 0, 9)
	f.DurationInRange(key+"begin", a.Begin, 0, time.Minute)
	f.DurationInRange(key+"max_age", a.MaxAge, 0, time.Minute)
}

func (s *scenario) checkFactors(f *tomlfile.File, key string, c caseSpec) {
	if c.Factor != nil {
		tomlfile.InRange(f, key+"factor", *c.Factor, 0, 100)
	}
	for id, factor := range c.Factors {
		if !s.hasAccount(id) {
			f.Add(key+"factors", "ids of accounts", "account %q does not exist", id)
		}
		tomlfile.InRange(f, key+"factors", factor, 0, 100)
	}
}

func (s *scenario) checkTarget(f *tomlfile.File, key string, t targetSpec) {
	f.Required(key+"name", t.Name, "a text")
	f.OneOf(key+"measure", t.Measure, measureNames()...)
	f.OneOf(key+"rank", t.Rank, "", "top", "middle", "bottom")
	for _, id := range t.Accounts {
		if !s.hasAccount(id) {
			f.Add(key+"accounts", "ids of accounts", "account %q does not exist", id)
		}
	}
	for _, name := range []string{t.Case, t.RelativeTo} {
		if name != "" && !s.hasCase(name) {
			f.Add(key+"case", "names of cases", "case %q does not exist", name)
		}
	}
}

func (s *scenario) hasAccount(id string) bool {
	for _, a := range s.Account {
		if a.ID == id {
			return true
		}
	}
	return false
}

func (s *scenario) hasCase(name string) bool {
	for _, c := range s.Case {
		if c.Name == name {
			return true
		}
	}
	return false
}

// factor returns the factor by which a case multiplies an account's load.
func (c caseSpec) factor(account string) float64 {
	if factor, ok := c.Factors[account]; ok {
		return factor
	}
	if c.Factor != nil {
		return *c.Factor
	}
	return 1
}
