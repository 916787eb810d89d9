package command

import (
	"net/http"
	"slices"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// Rank returns the rank of a request: the requested one, limited to that of the
// account's template. If requested is empty, it returns the template's rank.
func Rank(account *dynamic.Account, requested string) (fleet.Rank, *verdict.Error) {
	if requested == "" {
		return account.Template.Rank, nil
	}
	rank, err := fleet.ParseRank(requested)
	if err != nil {
		return 0, verdict.Refuse(http.StatusBadRequest, verdict.ReasonBadRequest, "Request-Rank: %v", err)
	}
	return max(rank, account.Template.Rank), nil
}

// AdmitModel returns a refusal if the account may not use the model or adapter,
// if either does not exist, or if the request is quarantined.
func (c *Commands) AdmitModel(call *Call, model, adapter string) *verdict.Error {
	if !slices.Contains(call.Account.Template.Models, model) {
		return verdict.Refuse(http.StatusForbidden, verdict.ReasonForbidden, "model %q is not allowed for the account", model)
	}
	m, ok := c.Store.Effective().Models[model]
	if !ok {
		return verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownModel, "model %q does not exist", model)
	}
	if adapter == "" {
		return c.admitFingerprint(call)
	}
	if !slices.Contains(call.Account.Template.Adapters, adapter) {
		return verdict.Refuse(http.StatusForbidden, verdict.ReasonForbidden, "adapter %q is not allowed for the account", adapter)
	}
	if !slices.Contains(m.Adapters, adapter) {
		return verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownModel, "model %q has no adapter %q", model, adapter)
	}
	return c.admitFingerprint(call)
}

// AdmitService returns the named service, or a refusal if the account may not call
// it, if it does not exist, or if the request is quarantined.
func (c *Commands) AdmitService(call *Call, name string) (dynamic.Service, *verdict.Error) {
	if !slices.Contains(call.Account.Template.Services, name) {
		return dynamic.Service{}, verdict.Refuse(http.StatusForbidden, verdict.ReasonForbidden, "service %q is not allowed for the account", name)
	}
	s, ok := c.Store.Effective().Services[name]
	if !ok {
		return dynamic.Service{}, verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownService, "service %q does not exist", name)
	}
	return s, c.admitFingerprint(call)
}

func (c *Commands) admitFingerprint(call *Call) *verdict.Error {
	if state, _ := c.Quarantine.Check(call.fingerprints()); state != quarantine.Quarantined {
		return nil
	}
	return verdict.Refuse(http.StatusUnprocessableEntity, verdict.ReasonQuarantined, "backend servers ended while this request ran")
}
