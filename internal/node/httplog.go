package node

import (
	"log"
	"strings"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

// errorLog returns a logger that records the HTTP server's errors, such as
// panics in handlers, as events.
func errorLog(r *events.Recorder) *log.Logger {
	return log.New(httpErrors{r}, "", 0)
}

type httpErrors struct{ recorder *events.Recorder }

func (e httpErrors) Write(line []byte) (int, error) {
	e.recorder.Record("http_server_error", "", events.F("error", strings.TrimSpace(string(line))))
	return len(line), nil
}
