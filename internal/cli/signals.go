package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signalContext returns a context that the first SIGTERM or SIGINT cancels. The
// second signal terminates the process immediately with status 1.
func signalContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	stopped := make(chan struct{})
	go func() {
		for range 2 {
			select {
			case <-signals:
			case <-stopped:
				return
			}
			if ctx.Err() != nil {
				os.Exit(exitFailure)
			}
			cancel()
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		close(stopped)
		cancel()
	}
}
