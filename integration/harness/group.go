package harness

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/standin"
)

// Group is a stand-in model group: one process with the engines of all ranks.
type Group struct {
	*Process
	url string
}

// StartGroup starts a stand-in model group from the binaries in bin, with its log
// in dir, and waits until it listens.
func StartGroup(bin, dir string, ranks int, step time.Duration) (*Group, error) {
	var ports Ports
	defer ports.Release()
	address, err := ports.Next()
	if err != nil {
		return nil, err
	}
	p := NewProcess(dir, "group", filepath.Join(bin, "standin"), "group", "--listen", address, "--ranks", fmt.Sprint(ranks), "--step", step.String())
	if err := p.Start(); err != nil {
		return nil, err
	}
	return &Group{Process: p, url: "http://" + address}, p.waitListening(address, defaultReadyTimeout)
}

// RankURL returns the base URL of a rank's engine.
func (g *Group) RankURL(rank int) string { return fmt.Sprintf("%s/ranks/%d", g.url, rank) }

// Counts returns the counters of the group.
func (g *Group) Counts(ctx context.Context) (standin.GroupCounts, error) {
	var counts standin.GroupCounts
	err := getJSON(ctx, g.url+"/control/steps", &counts)
	return counts, err
}
