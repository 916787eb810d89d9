package standin

import "net/http"

// EngineFault is the body of POST /control/fault. It affects completions only:
// health, load and cache events are still served. The zero value ends the fault.
type EngineFault struct {
	// Fail makes every completion fail with status 500.
	Fail bool `json:"fail"`
	// BreakAfter is the number of tokens after which the connection of every
	// completion is broken; zero breaks none.
	BreakAfter int `json:"break_after"`
}

func (e *Engine) controlFault(w http.ResponseWriter, r *http.Request) {
	var fault EngineFault
	if readJSON(w, r, &fault) {
		e.fault.Store(&fault)
	}
}

// currentFault returns the fault that is currently set.
func (e *Engine) currentFault() EngineFault {
	if f := e.fault.Load(); f != nil {
		return *f
	}
	return EngineFault{}
}
