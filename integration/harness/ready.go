package harness

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// WaitReady waits until every process is ready, every entry VM names all entry
// VMs, and every entry VM reaches every model and service.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, a := range f.Agents {
		if err := f.waitProcess(ctx, a.Process, a.Settings.AdminAddress); err != nil {
			return err
		}
	}
	for _, e := range f.Entries {
		if err := f.waitProcess(ctx, e.Process, e.Settings.AdminAddress); err != nil {
			return err
		}
	}
	for _, e := range f.Entries {
		if err := poll(ctx, func() error { return f.entryServes(ctx, e) }); err != nil {
			return fmt.Errorf("%s does not serve the whole fleet: %w\n%s", e.Name, err, tail(e.Log()))
		}
	}
	return nil
}

func (f *Fleet) waitProcess(ctx context.Context, p *Process, admin string) error {
	err := poll(ctx, func() error {
		if !p.Running() {
			return errProcessEnded
		}
		return getJSON(ctx, "http://"+admin+"/readyz", nil)
	})
	if err != nil {
		return fmt.Errorf("%s is not ready: %w\n%s", p.Name, err, tail(p.Log()))
	}
	return nil
}

// entryServes checks the address answer and that each template's models and
// services can be reached: a model by a completion of one token, a service by
// a ticket that is not used.
func (f *Fleet) entryServes(ctx context.Context, e *Entry) error {
	for _, account := range f.options.Accounts {
		client := NewClient([]string{e.Settings.CallerAddress}, account.Key, "")
		addresses, _, err := client.Addresses(ctx)
		if err != nil {
			return err
		}
		if len(addresses) != f.runningEntries() {
			return fmt.Errorf("the address answer has %d entry VMs, want %d", len(addresses), f.runningEntries())
		}
		if err := f.accountServed(ctx, client, account); err != nil {
			return err
		}
	}
	return nil
}

// processStart is what a process says of itself and of others.
type processStart struct {
	Process string `json:"process"`
	Start   string `json:"start"`
	Linked  bool   `json:"linked"`
}

// WaitLinked waits until every running entry VM has a link to the present start
// of an agent. Until then a ticket can still name the start before.
func (f *Fleet) WaitLinked(ctx context.Context, a *Agent) error {
	return poll(ctx, func() error {
		var own processStart
		if err := f.Admin(ctx, http.MethodGet, a.Settings.AdminAddress, "/admin/v1/status", nil, &own); err != nil {
			return err
		}
		for _, e := range f.Entries {
			if e.Running() && !f.linked(ctx, e, own) {
				return fmt.Errorf("%s has no link to the present start of %s", e.Name, a.Name)
			}
		}
		return nil
	})
}

func (f *Fleet) linked(ctx context.Context, e *Entry, agent processStart) bool {
	var members []processStart
	if err := f.Admin(ctx, http.MethodGet, e.Settings.AdminAddress, "/admin/v1/members", nil, &members); err != nil {
		return false
	}
	agent.Linked = true
	return slices.Contains(members, agent)
}

func (f *Fleet) runningEntries() int {
	n := 0
	for _, e := range f.Entries {
		if e.Running() {
			n++
		}
	}
	return n
}

func (f *Fleet) accountServed(ctx context.Context, client *Client, account AccountSpec) error {
	for _, t := range f.options.Templates {
		if t.Name != account.Template {
			continue
		}
		for _, model := range t.Models {
			o := client.Complete(ctx, Completion{Model: model, Prompt: "ready", MaxTokens: 1, MaxAttempts: 1})
			if !o.Complete {
				return fmt.Errorf("model %s: %s", model, o)
			}
		}
		for _, service := range t.Services {
			if ticket, o := client.Ticket(ctx, service, ""); ticket == "" {
				return fmt.Errorf("ticket for %s: %s", service, o)
			}
		}
	}
	return nil
}

var errProcessEnded = errors.New("the process ended")

// poll repeats try until it succeeds, the process has ended or ctx is done.
func poll(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil || errors.Is(err, errProcessEnded) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// tailBytes is how much of a log goes into an error.
const tailBytes = 4 << 10

func tail(log string) string { return log[max(0, len(log)-tailBytes):] }
