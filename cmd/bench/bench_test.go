package main

import (
	"math"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a scenario file in the repository that the tool refuses.
func TestScenariosParse(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../bench/*.toml")
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, f := range files {
		_, err := loadScenario(f)
		is.NoErr(err)
	}
}

// Guards against a misspelled key that silently keeps its default.
func TestUnknownKeysAreRefused(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"titel = \"x\"", "[[account]]\nid = \"a\"\nrank = \"top\"\nlaod = 1.0", "[[target]]\nname = \"x\"\nmeasure = \"goodputt\""} {
		_, err := parseScenario("x.toml", []byte(text))
		is.True(err != nil)
	}
}

// Guards against cases that cannot be compared because the same account sends
// different requests in each.
func TestArrivalsDependOnTheAccountAlone(t *testing.T) {
	is := is.New(t)
	s := defaultScenario()
	a := accountSpec{ID: "a", Load: 0.5, Tokens: 30, PromptBytes: 200}
	one := s.arrivals(caseSpec{Name: "alone"}, a)
	is.Equal(one, s.arrivals(caseSpec{Name: "beside", Factors: map[string]float64{"b": 10}}, a))
	s.Seed = 2
	is.True(len(one) > 0 && one[0] != s.arrivals(caseSpec{Name: "alone"}, a)[0])
}

func fixture() view {
	a := &accountSpec{ID: "a", Rank: "top", Share: 0.5, Begin: seconds(2)}
	at := func(ms ...int) (out []time.Duration) {
		for _, n := range ms {
			out = append(out, time.Duration(n)*time.Millisecond)
		}
		return out
	}
	samples := []*sample{
		{account: a, due: 0, tokens: at(500), complete: true},
		{account: a, due: 2 * time.Second, tokens: at(2400, 2450, 2600), ended: 2600 * time.Millisecond, complete: true},
		{account: a, due: 2 * time.Second, ended: 2010 * time.Millisecond, refused: true, notRun: true},
	}
	return view{samples: samples, selected: func(*sample) bool { return true }, from: time.Second, to: 4 * time.Second}
}

// Guards against figures that count the warm-up or leave refusals out of the
// latency.
func TestFigures(t *testing.T) {
	is := is.New(t)
	near := func(measure string, want float64) {
		t.Helper()
		got := measures[measure](fixture())
		is.True(math.Abs(got-want) <= 0.001*max(want, 1)) // figure
	}
	near("first_token_p50", 0.4)
	near("first_token_p95", unanswered.Seconds()*1.001)
	near("answered_first_token_p95", 0.4)
	near("between_p95", 0.15)
	near("answered_part", 0.5)
	near("goodput", 1)
	near("refused_part", 0.5)
	near("refusal_p95", 0.01)
	near("refusal_not_run", 1)
	near("time_to_share", 0)
}

// Guards against a figure without values that counts as met.
func TestNoValuesIsMissed(t *testing.T) {
	is := is.New(t)
	most := 1.0
	is.True(!targetSpec{Max: &most}.met(math.NaN()))
	is.True(!targetSpec{Max: &most}.met(math.Inf(1)))
	is.True(targetSpec{Max: &most}.met(1))
}
