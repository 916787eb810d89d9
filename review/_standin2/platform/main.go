package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scripts holds the script of each case. It returns whether the rule was broken.
var scripts = map[string]func(*world) (broken bool, err error){
	"stop-long-answer":  stopLongAnswer,
	"late-beat":         lateBeat,
	"removed-service":   removedService,
	"slow-poison":       slowPoison,
	"poison-over-kills": poisonOverKills,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 2 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCRIPT")
		return exitUnable
	}
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer w.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := scripts[os.Args[1]](w)
		done <- result{broken, err}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	select {
	case <-ended:
		w.note("the case could not run: it was ended from outside")
		return exitUnable
	case r := <-done:
		switch {
		case r.err != nil:
			w.note("the case could not run: %v", r.err)
			fmt.Fprintln(os.Stderr, r.err)
			return exitUnable
		case r.broken:
			return exitBroken
		}
		return exitHeld
	case <-time.After(scriptLimit):
		w.note("the case could not run: it took too long")
		return exitUnable
	}
}
