package harness

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// WaitReady waits until every process is ready and every entry VM returns the
// addresses of all entry VMs and reaches every model and service. It returns an
// error if ctx is done first or a process exits before it is ready.
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
		if err := poll(ctx, func() error { return f.checkEntry(ctx, e) }); err != nil {
			return fmt.Errorf("%s does not serve the whole fleet: %w\n%s", e.Name, err, tail(e.Log()))
		}
	}
	return nil
}

func (f *Fleet) waitProcess(ctx context.Context, p *Process, admin string) error {
	err := poll(ctx, func() error {
		if !p.Running() {
			return errProcessExited
		}
		return getJSON(ctx, "http://"+admin+"/readyz", nil)
	})
	if err != nil {
		return fmt.Errorf("%s is not ready: %w\n%s", p.Name, err, tail(p.Log()))
	}
	return nil
}

// checkEntry checks the address answer of an entry VM and that it reaches each
// account's models and services: a model by a completion of one token, a service
// by a ticket that is not used.
func (f *Fleet) checkEntry(ctx context.Context, e *Entry) error {
	for _, account := range f.options.Accounts {
		client := NewClient([]string{e.Settings.CallerAddress}, account.Key, "")
		addresses, _, err := client.Addresses(ctx)
		if err != nil {
			return err
		}
		if len(addresses) != f.runningEntries() {
			return fmt.Errorf("the address answer has %d entry VMs, want %d", len(addresses), f.runningEntries())
		}
		if err := f.checkAccount(ctx, client, account); err != nil {
			return err
		}
	}
	return nil
}

// processStart identifies a start of a process in the responses of
// /admin/v1/status and /admin/v1/members.
type processStart struct {
	Process string `json:"process"`
	Start   string `json:"start"`
	Linked  bool   `json:"linked"`
}

// WaitLinked waits until every running entry VM has a link to the current start
// of an agent. Until then, a ticket can still name the previous start.
func (f *Fleet) WaitLinked(ctx context.Context, a *Agent) error {
	return poll(ctx, func() error {
		var agentStart processStart
		if err := f.Admin(ctx, http.MethodGet, a.Settings.AdminAddress, "/admin/v1/status", nil, &agentStart); err != nil {
			return err
		}
		for _, e := range f.Entries {
			if e.Running() && !f.linked(ctx, e, agentStart) {
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

func (f *Fleet) checkAccount(ctx context.Context, client *Client, account AccountSpec) error {
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

var errProcessExited = errors.New("the process exited")

// poll repeats try until it succeeds, the process has exited or ctx is done, and
// returns the last error of try.
func poll(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil || errors.Is(err, errProcessExited) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// tailBytes is the maximum length of a log excerpt in an error.
const tailBytes = 4 << 10

func tail(log string) string { return log[max(0, len(log)-tailBytes):] }
