package standin

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// crashStatus is the exit status of a stand-in that was crashed by a request.
const crashStatus = 3

func exitCrashed() { os.Exit(crashStatus) }

// Command returns the root of the standin command line.
func Command() *cobra.Command {
	root := &cobra.Command{Use: "standin", Short: "Test-only stand-ins for outside systems", SilenceUsage: true}
	root.AddCommand(platformCommand(), engineCommand(), groupCommand(), serviceCommand(), weightsCommand())
	return root
}

// command returns a subcommand that serves the handler returned by build until
// SIGTERM or an interrupt.
func command(name, short string, build func(ctx context.Context) (http.Handler, error)) *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			handler, err := build(ctx)
			if err != nil {
				return err
			}
			return Serve(ctx, name, address, handler, c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&address, "listen", "127.0.0.1:0", "loopback address and port")
	return c
}

func platformCommand() *cobra.Command {
	return command("platform", "Configuration service and VM list", func(context.Context) (http.Handler, error) {
		return NewPlatform().Handler(), nil
	})
}

func engineCommand() *cobra.Command {
	config := DefaultEngineConfig()
	config.Crash = exitCrashed
	c := command("engine", "Model engine", func(ctx context.Context) (http.Handler, error) {
		engine := NewEngine(config)
		go engine.Run(ctx)
		return engine.Handler(), nil
	})
	f := c.Flags()
	f.StringVar(&config.Model, "model", config.Model, "loaded model")
	f.StringSliceVar(&config.Adapters, "adapters", nil, "loaded adapters")
	f.IntVar(&config.Slots, "slots", config.Slots, "sequences in a batch")
	f.DurationVar(&config.StepBase, "step-base", config.StepBase, "time of a step")
	f.DurationVar(&config.StepPerSequence, "step-per-sequence", config.StepPerSequence, "time added to a step per sequence")
	f.DurationVar(&config.PrefillPerToken, "prefill-per-token", config.PrefillPerToken, "time per uncached prompt token")
	f.IntVar(&config.CachePrefixes, "cache-prefixes", config.CachePrefixes, "bound of the prefix cache, in blocks of 256 bytes")
	f.DurationVar(&config.EventDelay, "event-delay", config.EventDelay, "how late cache events show")
	f.Uint64Var(&config.EventGap, "event-gap", config.EventGap, "drop every n-th cache event; 0 drops none")
	f.DurationVar(&config.LoadLag, "load-lag", config.LoadLag, "time between samples of the load report")
	f.BoolVar(&config.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing number")
	f.DurationVar(&config.OrderDelay, "order-delay", 0, "time until an order takes effect")
	f.BoolVar(&config.CrashEnabled, "crash", false, "exit after the first token of a prompt with "+CrashMarker)
	return c
}

func groupCommand() *cobra.Command {
	config := GroupConfig{Model: "small", Ranks: 4, Step: 10 * time.Millisecond}
	c := command("group", "Engines of a model group in lock-step", func(ctx context.Context) (http.Handler, error) {
		group := NewGroup(config)
		go group.Run(ctx)
		return group.Handler(), nil
	})
	c.Flags().StringVar(&config.Model, "model", config.Model, "loaded model")
	c.Flags().IntVar(&config.Ranks, "ranks", config.Ranks, "number of ranks")
	c.Flags().DurationVar(&config.Step, "step", config.Step, "time of a step")
	return c
}

func serviceCommand() *cobra.Command {
	config := ServiceConfig{RunTime: 20 * time.Millisecond, Crash: exitCrashed}
	var journal string
	c := command("service", "Plain service that counts its runs", func(context.Context) (http.Handler, error) {
		if journal != "" {
			file, err := os.OpenFile(journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
			if err != nil {
				return nil, fmt.Errorf("open journal: %w", err)
			}
			config.Journal = file
		}
		return NewService(config).Handler(), nil
	})
	c.Flags().DurationVar(&config.RunTime, "run-time", config.RunTime, "time of one call")
	c.Flags().StringVar(&journal, "journal", "", "file that gets a line with the identifier of each run")
	c.Flags().BoolVar(&config.CrashEnabled, "crash", false, "exit when a body has "+CrashMarker)
	return c
}

func weightsCommand() *cobra.Command {
	config := WeightsConfig{BytesPerSecond: 8 << 20, Queue: 4, ObjectBytes: 1 << 20}
	c := command("weights", "Rate-limited weight store", func(context.Context) (http.Handler, error) {
		return NewWeights(config).Handler(), nil
	})
	c.Flags().IntVar(&config.BytesPerSecond, "rate", config.BytesPerSecond, "bytes per second over all readers")
	c.Flags().IntVar(&config.Queue, "queue", config.Queue, "open reads; one more is refused")
	c.Flags().IntVar(&config.ObjectBytes, "object-bytes", config.ObjectBytes, "size of an object when the call gives none")
	return c
}
