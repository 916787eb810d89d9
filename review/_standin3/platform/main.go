// Command review-3 plays the scripted cases of the third review. Each case starts the
// project's own programs as separate processes on loopback addresses, with stand-ins for
// the store, the backend servers and the clients, and checks one rule from what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longest is the time after which a case is ended.
const longest = 110 * time.Second

// cases holds the cases by name. trouble is false if the disruption is left out. A case
// returns what it saw that breaks its rule.
var cases = map[string]func(s *scene, trouble bool) (broken []string, err error){}

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "target/coltsfootbay", "the project's program")
	record := flag.String("record", "record.txt", "file for the record of the case")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", flag.Arg(0))
		return exitFailed
	}
	s, err := newScene(*program, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.close()
	// A case that is ended from outside ends its processes too.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		s.close()
		os.Exit(exitFailed)
	}()
	broken, err := play(s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if len(broken) == 0 {
		s.note("result: the rule held")
		return exitHeld
	}
	for _, line := range broken {
		s.note("result: %s", line)
		fmt.Println(line)
	}
	return exitBroken
}
