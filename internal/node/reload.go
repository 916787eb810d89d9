package node

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

// reloadInterval is how often the settings are read again without a signal,
// because they may change without one.
const reloadInterval = 2 * time.Second

// Load reads the settings of the process.
type Load func() (settings.NodeConfig, error)

// watchSettings reads the settings again on SIGHUP and every reloadInterval, and
// calls apply when they have changed. If they can't be read, it records the error
// and keeps the current settings.
func watchSettings(ctx context.Context, current settings.NodeConfig, load Load, recorder *events.Recorder, apply func(settings.NodeConfig)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		cause := "changed"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			cause = "signal"
		case <-tick.C:
		}
		next, err := load()
		if err != nil {
			recorder.Record("settings_unreadable", "", events.F("cause", cause), events.F("error", err.Error()))
			continue
		}
		changed := !reflect.DeepEqual(next, current)
		if changed || cause == "signal" {
			recorder.Record("settings_reloaded", "", events.F("cause", cause), events.F("changed", changed))
		}
		if changed {
			current = next
			apply(next)
		}
	}
}

// catchHangups keeps a SIGHUP from ending the process before watchSettings receives it. The
// caller must call release.
func catchHangups() (release func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return func() { signal.Stop(hangups) }
}
