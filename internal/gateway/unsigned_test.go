package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a success without its server's signature that is relayed: a byte of its head
// was wrong. Another server answers requests that may be repeated.
func TestUnsignedSuccessIsNotRelayed(t *testing.T) {
	for path, want := range map[string]int{"/unsafe/x": 502, "/safe/x": 200, "/stream/x": 200, "/stream/once/x": 502} {
		for _, status := range []int{http.StatusOK, http.StatusCreated, http.StatusNoContent} {
			t.Run(path+" "+http.StatusText(status), func(t *testing.T) {
				is := is.New(t)
				var runs atomic.Int64
				handle := func(w http.ResponseWriter, r *http.Request) {
					if runs.Add(1) == 1 {
						w.Header().Set("Unsigned", "1")
						w.WriteHeader(status)
						return
					}
					eventsFrom(4, false)(w, r)
				}
				w := newTestGateway(t, servedBy(path, newBackend(t, handle), newBackend(t, handle)))
				got, _, whole, h := w.ask(t, http.MethodPost, path)
				is.Equal(got, want)
				is.True(whole)
				is.Equal(h.Get("Unsigned"), "")
			})
		}
	}
}
