package dynamic

import (
	"slices"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Engine is what the engine behind an agent should have loaded and the role that it
// should take. An empty field demands nothing.
type Engine struct {
	Document string
	Agent    fleet.ProcessID
	Model    string
	Version  string
	Adapters []string
	Role     string
}

func (e *engineSchema) check(f *tomlfile.File) {
	for _, field := range []struct{ key, value string }{
		{"agent", e.Agent}, {"model", e.Model}, {"version", e.Version}, {"role", e.Role},
	} {
		required := field.key == "agent" || field.key == "model"
		if (required || f.Line(field.key) > 0) && !namePattern.MatchString(field.value) {
			f.Add(field.key, allowedName, "%q is not a valid name", field.value)
		}
	}
	checkNames(f, "adapters", e.Adapters)
}

// addEngines adds the engine documents; all models must be known. When two documents
// name the same agent, the one with the lower revision is in force.
func (b *builder) addEngines() {
	b.effective.Engines = make(map[fleet.ProcessID]Engine, len(b.engines))
	for _, d := range b.engines {
		var s engineSchema
		if b.decode(d, &s) {
			b.addEngine(d, s)
		}
	}
}

func (b *builder) addEngine(d wire.Document, s engineSchema) {
	agent := fleet.ProcessID(s.Agent)
	if _, taken := b.effective.Engines[agent]; taken {
		b.addInactive(d.Name, "agent "+s.Agent, "a document of a lower revision has the same agent")
		return
	}
	e := Engine{Document: d.Name, Agent: agent, Role: s.Role}
	model, ok := b.effective.Models[s.Model]
	if !ok {
		b.addInactive(d.Name, "model "+s.Model, "model does not exist")
		b.effective.Engines[agent] = e
		return
	}
	e.Model = s.Model
	if s.Version != "" && slices.Contains(model.Versions, s.Version) {
		e.Version = s.Version
	} else if s.Version != "" {
		b.addInactive(d.Name, "version "+s.Version, "the model has no such version")
	}
	for _, adapter := range s.Adapters {
		if slices.Contains(model.Adapters, adapter) {
			e.Adapters = append(e.Adapters, adapter)
			continue
		}
		b.addInactive(d.Name, "adapter "+adapter, "the model has no such adapter")
	}
	b.effective.Engines[agent] = e
}
