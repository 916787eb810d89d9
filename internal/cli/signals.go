package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signalContext returns a context that the first SIGTERM or SIGINT cancels. A SIGINT after
// it terminates the process immediately with status 1. Further SIGTERMs have no effect: an
// operator's scripts may send several, and SIGKILL ends a process that does not stop.
func signalContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	stopped := make(chan struct{})
	go func() {
		for {
			select {
			case s := <-signals:
				if ctx.Err() != nil && s == os.Interrupt {
					os.Exit(exitFailure)
				}
				cancel()
			case <-stopped:
				return
			}
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		close(stopped)
		cancel()
	}
}
