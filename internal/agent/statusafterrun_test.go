package agent

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Guards against a status which states that a filing did not run, relayed from a service that
// has run it: callers sent it again with a new ticket, and it ran twice.
func TestStatusOfServiceThatRanIsNoPromise(t *testing.T) {
	for _, status := range []int{400, 404, 408, 409, 421, 429, 500, 502, 503, 504} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			f := start(t, settings.KindService, nil, func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(status)
			})
			text := f.ticket("t1")
			for range 2 {
				s := f.open(filing("r1", text))
				if !verdict.StatesNotRun(status) {
					is.Equal(waitFor[*wire.Response](t, s).Status, status)
					continue
				}
				refused := waitFor[*wire.Refused](t, s)
				is.Equal(refused.Verdict, verdict.MayHaveRun) // also for the repeat of the ticket
				is.Equal(refused.Status, http.StatusBadGateway)
				is.Equal(refused.Reason, verdict.ReasonServerFailed)
			}
			is.Equal(runs.Load(), int64(1))
		})
	}
}
