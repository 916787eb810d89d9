package node

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

// Guards against a process that terminates on SIGHUP, and against unreadable
// settings that replace the current ones.
func TestSettingsAreReloadedOnHangup(t *testing.T) {
	is := is.New(t)
	first := settings.NodeConfig{Name: "n"}
	second := settings.NodeConfig{Name: "n", Peers: settings.NodePeers{Seeds: []string{"192.0.2.1:1"}}}
	var unreadable atomic.Bool
	unreadable.Store(true)
	load := func() (settings.NodeConfig, error) {
		if unreadable.Load() {
			return settings.NodeConfig{}, errors.New("broken")
		}
		return second, nil
	}
	applied := make(chan settings.NodeConfig, 4)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		watchSettings(ctx, first, load, events.NewRecorder("n", 1, io.Discard), func(c settings.NodeConfig) { applied <- c })
		close(done)
	}()
	defer func() { cancel(); <-done }()
	time.Sleep(50 * time.Millisecond)
	is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(applied), 0)
	unreadable.Store(false)
	is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	select {
	case c := <-applied:
		is.Equal(c, second)
	case <-time.After(time.Second):
		t.Fatal("the settings were not applied")
	}
}
