package standin

import "net/http"

// EngineFault is the body of POST /control/fault. Health, load and cache events
// still answer. The zero value ends the fault.
type EngineFault struct {
	// Fail answers every completion with status 500.
	Fail bool `json:"fail"`
	// BreakAfter breaks the connection of every completion after so many
	// tokens; zero breaks none.
	BreakAfter int `json:"break_after"`
}

func (e *Engine) controlFault(w http.ResponseWriter, r *http.Request) {
	var fault EngineFault
	if readJSON(w, r, &fault) {
		e.fault.Store(&fault)
	}
}

// presentFault returns the fault that applies now.
func (e *Engine) presentFault() EngineFault {
	if f := e.fault.Load(); f != nil {
		return *f
	}
	return EngineFault{}
}
