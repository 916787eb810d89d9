package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a refusal of the last server that is relayed although the first one has
// run the request.
func TestRefusalAfterARunIsNotRelayed(t *testing.T) {
	is := is.New(t)
	var arrivals atomic.Int64
	handle := func(w http.ResponseWriter, _ *http.Request) {
		if arrivals.Add(1) == 1 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	w := newTestGateway(t, servedBy("/safe/x", newBackend(t, handle), newBackend(t, handle), newBackend(t, handle), newBackend(t, handle)))
	status, _, _, h := w.ask(t, http.MethodGet, "/safe/x")
	is.Equal(arrivals.Load(), int64(maxSends))
	is.Equal(status, http.StatusBadGateway)
	is.Equal(h.Get("Not-Run"), "")
}
