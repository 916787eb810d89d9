package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that are refused because their group opens in a moment: after
// a loss of power each request was sent to ranks that refused it, and 36 callers that
// came back were lost. Those that come while the group is closed wait for it, and only
// one at a time asks.
func TestClosedGroupIsAskedByOneAtATime(t *testing.T) {
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
	w := newWorld(t, map[string][]*backend{"model": {refused}})
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
	// Each closedPause one request asks; it can be sent again at maxSends servers.
	asks := int(closedFor/closedPause) + 1
	is.True(refused.ran() <= callers+asks)
	is.True(served >= callers-asks)
}
