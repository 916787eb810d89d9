package main

import (
	"math"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a scenario file in the repository that fails to parse.
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

// Guards against misspelled keys and measures that are silently ignored.
func TestUnknownKeysAreRefused(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"titel = \"x\"", "[[account]]\nid = \"a\"\nrank = \"top\"\nlaod = 1.0", "[[target]]\nname = \"x\"\nmeasure = \"goodputt\""} {
		_, err := parseScenario("x.toml", []byte(text))
		is.True(err != nil)
	}
}

// Guards against cases that are not comparable because the same account sends
// different requests in each of them.
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
		{account: a, arrival: 0, tokens: at(500), complete: true},
		{account: a, arrival: 2 * time.Second, tokens: at(2400, 2450, 2600), ended: 2600 * time.Millisecond, complete: true},
		{account: a, arrival: 2 * time.Second, ended: 2010 * time.Millisecond, refused: true, notRun: true},
	}
	return view{samples: samples, selected: func(*sample) bool { return true }, from: time.Second, to: 4 * time.Second}
}

// Guards against figures that include the warm-up, and against latencies that
// exclude refusals.
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

// Guards against a target that counts as met although its figure has no values.
func TestFigureWithoutValuesMissesTarget(t *testing.T) {
	is := is.New(t)
	maximum := 1.0
	is.True(!targetSpec{Max: &maximum}.met(math.NaN()))
	is.True(!targetSpec{Max: &maximum}.met(math.Inf(1)))
	is.True(targetSpec{Max: &maximum}.met(1))
}
