package node

import (
	"log"
	"strings"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

// errorLog passes what the HTTP server reports, such as panics in a handler, to
// the log.
func errorLog(r *events.Recorder) *log.Logger {
	return log.New(httpErrors{r}, "", 0)
}

type httpErrors struct{ recorder *events.Recorder }

func (e httpErrors) Write(line []byte) (int, error) {
	e.recorder.Record("http_server_error", "", events.F("error", strings.TrimSpace(string(line))))
	return len(line), nil
}
