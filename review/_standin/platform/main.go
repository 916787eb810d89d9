// Command review-standin plays one case of the review: it starts gateways of the
// project and the stand-ins around them, sends requests, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// play is the outcome of a case.
type play struct {
	record strings.Builder
	began  time.Time
	// violations describes what broke the rule.
	violations []string
}

func (p *play) log(format string, args ...any) {
	fmt.Fprintf(&p.record, "%9.3f  ", time.Since(p.began).Seconds())
	fmt.Fprintf(&p.record, format+"\n", args...)
}

// at returns a time in seconds since the beginning.
func (p *play) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(p.began).Seconds()) }

func (p *play) results(list []result) {
	sort.Slice(list, func(a, b int) bool { return list[a].sent.Before(list[b].sent) })
	for _, r := range list {
		fmt.Fprintf(&p.record, "request %s route=%s key=%s to=%s sent=%s ended=%s status=%d signed=%t worker=%s events=%d/%d complete=%t %s\n",
			r.id, r.route, r.key, r.gateway, p.at(r.sent), p.at(r.ended), r.status, r.signed, r.worker, r.request.events, r.events, r.complete, r.cause)
	}
}

func (p *play) runs(list []run) {
	sort.Slice(list, func(a, b int) bool { return list[a].began.Before(list[b].began) })
	for _, u := range list {
		ended := "-"
		if !u.ended.IsZero() {
			ended = p.at(u.ended)
		}
		fmt.Fprintf(&p.record, "run %s service=%s worker=%s account=%s began=%s ended=%s %s\n", u.id, u.service, u.worker, u.account, p.at(u.began), ended, u.outcome)
	}
}

func main() {
	cases := map[string]func(*play, *fleet, bool) error{"stop": playStop, "silence": playSilence, "revoke": playRevoke, "poison": playPoison}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(run1(cases[os.Args[1]], os.Args[2]))
}

func run1(f func(*play, *fleet, bool) error, recordFile string) int {
	p := &play{began: time.Now()}
	code := held
	err := playCase(p, f)
	switch {
	case err != nil:
		p.log("the case could not run: %v", err)
		code = failed
	case len(p.violations) > 0:
		code = broken
	}
	for _, v := range p.violations {
		fmt.Fprintln(&p.record, "BROKEN", v)
	}
	summary := fmt.Sprintf("%d violations, exit code %d", len(p.violations), code)
	fmt.Fprintln(&p.record, summary)
	fmt.Println(summary)
	if err != nil {
		fmt.Println(err)
	}
	for _, v := range p.violations[:min(len(p.violations), 5)] {
		fmt.Println("BROKEN", v)
	}
	if err := os.WriteFile(recordFile, []byte(p.record.String()), 0o644); err != nil {
		fmt.Println(err)
		return failed
	}
	return code
}

func playCase(p *play, play func(*play, *fleet, bool) error) error {
	f, err := newFleet()
	if err != nil {
		return err
	}
	defer f.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		f.end()
		os.Exit(failed)
	}()
	return play(p, f, os.Getenv("TROUBLE") != "0")
}
