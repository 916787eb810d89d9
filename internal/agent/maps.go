package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/expertmap"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/member"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// reasonEngineUnreachable is the reason in the answer to a failed map call, whose
// effect on the engine is unknown.
const reasonEngineUnreachable = "engine_unreachable"

// newCoordinator returns the coordinator for the group in which this agent has
// rank 0.
func (a *agent) newCoordinator() *expertmap.Coordinator {
	return expertmap.NewCoordinator(expertmap.Config{
		Owner:    fmt.Sprint(uint64(a.start)),
		Group:    a.coordinatedGroup,
		Call:     a.callRank,
		Recorder: a.recorder,
	})
}

// coordinatedGroup returns the group in which this agent has rank 0, if there
// is one, and sets the links to the agents of the other ranks.
func (a *agent) coordinatedGroup() (dynamic.Group, bool) {
	for _, g := range a.store.Effective().Groups {
		if g.Ranks[0] == a.process {
			a.view.SetRanks(a.rankTargets(g))
			return g, true
		}
	}
	a.view.SetRanks(nil)
	return dynamic.Group{}, false
}

// rankTargets returns the agents of the other ranks with their addresses from
// the VM list. Agents without an address are left out.
func (a *agent) rankTargets(g dynamic.Group) []member.Target {
	addresses := map[fleet.ProcessID]string{}
	for _, vm := range a.store.VMs() {
		addresses[vm.Name] = vm.Address
	}
	var targets []member.Target
	for _, agent := range g.Ranks[1:] {
		if address := addresses[agent]; address != "" {
			targets = append(targets, member.Target{Process: agent, Role: fleet.RoleAgent, Address: address})
		}
	}
	return targets
}

// callRank sends a map call to the engine of a rank through the rank's agent.
func (a *agent) callRank(ctx context.Context, agent fleet.ProcessID, m *wire.MapCall) (*wire.MapAnswer, error) {
	if agent == a.process {
		return a.forwardMapCall(ctx, m), nil
	}
	answer, err := a.manager.Call(ctx, agent, m)
	if err != nil {
		return nil, err
	}
	if answer, ok := answer.(*wire.MapAnswer); ok {
		return answer, nil
	}
	return nil, fmt.Errorf("unexpected answer %T to a map call", answer)
}

// forwardMapCall sends a map call to the engine and returns its answer. The
// engine holds all state of a map change, so none is lost when the agent
// restarts.
func (a *agent) forwardMapCall(ctx context.Context, m *wire.MapCall) *wire.MapAnswer {
	answer, err := a.postMapCall(ctx, m)
	if err != nil {
		return &wire.MapAnswer{Reason: reasonEngineUnreachable}
	}
	return answer
}

func (a *agent) postMapCall(ctx context.Context, m *wire.MapCall) (*wire.MapAnswer, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.config.BackendServer.URL+"/v1/map/"+string(m.Action), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := newClient(func() error { return nil }).Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("POST /v1/map/%s: status %d", m.Action, response.StatusCode)
	}
	answer := &wire.MapAnswer{}
	return answer, json.NewDecoder(io.LimitReader(response.Body, maxControlBytes)).Decode(answer)
}
