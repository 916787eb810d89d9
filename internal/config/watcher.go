package config

import (
	"context"
	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

type WatcherConfig struct {
	URL      string
	Store    *Store
	Reader   func() bool
	Recorder *events.Recorder
}
type Watcher struct{}

func NewWatcher(WatcherConfig) *Watcher        { return &Watcher{} }
func (*Watcher) Run(ctx context.Context) error { <-ctx.Done(); return nil }
