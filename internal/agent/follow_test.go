package agent

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/ledger"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/ticket"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Guards against may_have_run for a request that is still queued at its deadline. The queue
// of a process that gets little processor time refuses it late.
func TestRequestQueuedAtItsDeadlineDidNotRun(t *testing.T) {
	for name, x := range map[string]struct {
		callerLeft time.Duration // the deadline of the caller that waits, after that of the run
		want       verdict.Verdict
	}{
		"at the deadline of the run":                     {0, verdict.NotRun},
		"before it, another caller may wait for the run": {-time.Hour, verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, settings.KindService, nil, func(http.ResponseWriter, *http.Request) { t.Error("the request ran") })
			r := f.newRun(filing("r1", "t"), ticket.Token{Request: "t1"}, ledger.NewRun())
			r.deadline = time.Now().Add(-deadlineSlack - x.callerLeft)
			f.runs.add(r)
			s := &fakeStream{out: make(chan wire.Message), unblock: make(chan struct{})}
			s.ctx, s.lose = context.WithCancel(context.Background())
			t.Cleanup(s.lose)
			go f.follow(&call{stream: s, canceled: make(chan struct{})}, target{run: r, state: r.state, deadline: r.deadline.Add(x.callerLeft)})
			refused := waitFor[*wire.Refused](t, s)
			is.Equal(refused.Verdict, x.want)
			is.Equal(refused.TicketSpent, x.want == verdict.NotRun)
		})
	}
}
