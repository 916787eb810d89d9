package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootbay/coltsfootbay/integration/harness"
	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

const (
	service = "records"
	// settleTime is the pause between cases. It lets load reports become current
	// and canceled requests end.
	settleTime = 500 * time.Millisecond
)

// firstTokenTargets are the templates' first-token targets per rank. The top
// rank's is the product's target; the others apply only to the scenarios.
var firstTokenTargets = map[string]time.Duration{
	"top": 420 * time.Millisecond, "middle": 2 * time.Second, "bottom": 0,
}

type options struct {
	bin, json, keep string
	seed            uint64
	variants        []string
}

// samplesByCase holds the requests of one variant by the case's name.
type samplesByCase map[string][]*sample

func runAll(ctx context.Context, o options, files []string, out io.Writer) error {
	var scenarios []scenario
	for _, file := range files {
		s, err := loadScenario(file)
		if err != nil {
			return err
		}
		if o.seed > 0 {
			s.Seed = int64(o.seed)
		}
		scenarios = append(scenarios, s)
	}
	var results []result
	for i, s := range scenarios {
		r, err := runScenario(ctx, o, files[i], &s)
		if err != nil {
			return fmt.Errorf("%s: %w", files[i], err)
		}
		r.print(out)
		results = append(results, r)
	}
	printSummary(out, results)
	return writeJSON(o.json, results)
}

func runScenario(ctx context.Context, o options, file string, s *scenario) (result, error) {
	r := newResult(file, s)
	for i, v := range s.Variant {
		if len(o.variants) > 0 && !slices.Contains(o.variants, v.Name) {
			continue
		}
		m, err := s.runVariant(ctx, o, strings.TrimSuffix(filepath.Base(file), ".toml"), v)
		if err != nil {
			return r, fmt.Errorf("variant %s: %w", v.Name, err)
		}
		r.add(s, v.Name, i == 0, m)
	}
	return r, nil
}

func (s *scenario) runVariant(ctx context.Context, o options, name string, v variantSpec) (samplesByCase, error) {
	options := s.fleetOptions(o.bin, v)
	if o.keep != "" {
		options.Dir = filepath.Join(o.keep, name+"-"+v.Name)
	}
	fleet, err := harness.Start(ctx, options)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	m := samplesByCase{}
	for _, c := range s.Case {
		m[c.Name] = s.runCase(ctx, fleet, c)
		if !sleepUntil(ctx, time.Now().Add(settleTime)) {
			return nil, ctx.Err()
		}
	}
	return m, nil
}

func (s *scenario) fleetOptions(bin string, v variantSpec) harness.Options {
	o := harness.Options{
		Bin:          bin,
		Entries:      s.Fleet.Entries,
		Models:       []harness.ModelSpec{{Name: model}},
		ReadyTimeout: time.Minute, // processes start slowly on a loaded machine
		AgentSettings: func(c *settings.AgentConfig) {
			c.Queue.Ordering = v.Ordering
		},
		EntrySettings: func(c *settings.EntryConfig) {
			c.Routing = v.Routing
		},
	}
	for z := range s.Fleet.Zones {
		o.Zones = append(o.Zones, "zone-"+strconv.Itoa(z+1))
	}
	for range s.Fleet.Engines {
		o.Agents = append(o.Agents, harness.AgentSpec{Kind: settings.KindModel, Backend: model, Slots: s.Fleet.Slots, Arguments: s.Fleet.engineArguments()})
	}
	for range s.Fleet.Services {
		o.Agents = append(o.Agents, harness.AgentSpec{Kind: settings.KindService, Backend: service})
	}
	if s.Fleet.Services > 0 {
		o.Services = []harness.ServiceSpec{{Name: service, Rules: []dynamic.Rule{{Method: "POST", PathPrefix: "/"}}}}
	}
	for i := range s.Account {
		o.Templates = append(o.Templates, s.template(&s.Account[i]))
		o.Accounts = append(o.Accounts, harness.AccountSpec{ID: s.Account[i].ID, Key: accountKey(&s.Account[i]), Template: s.Account[i].ID})
	}
	return o
}

func (f fleetSpec) engineArguments() []string {
	return []string{
		"--step-base", f.StepBase.String(), "--step-per-sequence", f.StepPerSequence.String(),
		"--prefill-per-token", f.PrefillPerToken.String(),
	}
}

func (s *scenario) template(a *accountSpec) harness.TemplateSpec {
	t := harness.TemplateSpec{
		Name: a.ID, Rank: a.Rank, Share: a.Share, Models: []string{model},
		FirstToken: firstTokenTargets[a.Rank], MaxAge: a.MaxAge.Std(),
	}
	if s.Fleet.Services > 0 {
		t.Services = []string{service}
	}
	return t
}

func accountKey(a *accountSpec) string { return a.ID + "-key" }
