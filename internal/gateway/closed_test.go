package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against refusing callers of a group that is about to accept requests: after a
// power failure each request was sent to ranks that refused it, and 36 retrying callers
// were lost. Requests that arrive while the group refuses must wait, and only one at a
// time may be sent to it.
func TestClosedGroupGetsOneRequestAtATime(t *testing.T) {
	is := is.New(t)
	const closedFor, callers = 700 * time.Millisecond, 24
	opens := time.Now().Add(closedFor)
	refused := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if time.Now().Before(opens) {
			w.Header().Set("Not-Run", "1")
			w.Header().Set("Idle", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		eventsFrom(0, false)(w, r)
	})
	w := newTestGateway(t, map[string][]*backend{"model": {refused}})
	statuses := make([]int, callers)
	var asked sync.WaitGroup
	for i := range statuses {
		asked.Go(func() {
			time.Sleep(time.Duration(i) * closedFor / 2 / callers)
			statuses[i], _, _, _ = w.ask(t, http.MethodPost, "/stream/x")
		})
	}
	asked.Wait()
	served := 0
	for _, status := range statuses {
		if status == http.StatusOK {
			served++
		}
	}
	t.Logf("%d of %d served, %d sends", served, callers, refused.ran())
	// One request is sent each closedProbeInterval; it may be retried at maxSends servers.
	asks := int(closedFor/closedProbeInterval) + 1
	is.True(refused.ran() <= callers+asks)
	is.True(served >= callers-asks)
}
