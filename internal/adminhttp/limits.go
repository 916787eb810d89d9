package adminhttp

import (
	"net/http"

	"github.com/coltsfootbay/coltsfootbay/internal/settings"
)

// limitCalls limits the size of request bodies and the number of calls in flight.
// Calls beyond the limit get status 503.
func limitCalls(limits settings.Limits, next http.Handler) http.Handler {
	slots := make(chan struct{}, limits.Streams)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			writeProblem(w, http.StatusServiceUnavailable, "too many calls in flight")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
		next.ServeHTTP(w, r)
	})
}
