package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/deployment"
)

// Guards against a request that is passed on although the gateway stops before it can end,
// and against refusing one that has the time.
func TestRequestsThatOutlastPlannedStopAreRefused(t *testing.T) {
	is := is.New(t)
	plain := newBackend(t, respond("answer"))
	w := newTestGateway(t, map[string][]*backend{"plain": {plain}})
	for _, path := range []string{"/safe/1", "/unsafe/1"} {
		status, _, whole, _ := w.ask(t, "POST", path)
		is.True(whole)
		is.Equal(status, http.StatusOK)
	}
	w.gateway.StartDrain(time.Now().Add(1500 * time.Millisecond))
	status, _, _, _ := w.ask(t, "POST", "/safe/1") // takes milliseconds
	is.Equal(status, http.StatusOK)
	ran := plain.ran()
	status, _, _, h := w.ask(t, "POST", "/unsafe/1") // may take 2 s
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(h.Get("Retry-After") != "")
	is.Equal(plain.ran(), ran)
}

// Guards against a request that gets no answer because the gateway has stopped: what runs
// then ends with an answer that promises nothing.
func TestRequestsOpenAtEndOfPlannedStopAreAnswered(t *testing.T) {
	is := is.New(t)
	slow := func(http.ResponseWriter, *http.Request) { time.Sleep(1500 * time.Millisecond) }
	w := newTestGateway(t, map[string][]*backend{"plain": {newBackend(t, slow)}})
	time.AfterFunc(100*time.Millisecond, func() { w.gateway.StartDrain(time.Now().Add(400 * time.Millisecond)) })
	began := time.Now()
	status, _, whole, _ := w.ask(t, "POST", "/unsafe/1")
	is.True(whole)
	is.Equal(status, http.StatusBadGateway)
	is.True(time.Since(began) < 700*time.Millisecond)
}

// Guards against a stream that is longer than the recent ones and is cut by a planned stop,
// against a stream of unknown length that may be, and against refusing streams that have the
// time.
func TestStreamsThatOutlastPlannedStopAreRefused(t *testing.T) {
	is := is.New(t)
	const pace, usual = 20 * time.Millisecond, 10
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := strconv.Atoi(r.Header.Get("Length"))
		for i := range n {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pace)
		}
	})
	w := newTestGateway(t, map[string][]*backend{"model": {b}})
	stream := func(length, tokens int) (status int, whole bool) {
		status, _, whole, _ = w.ask(t, "POST", "/stream/x", func(r *http.Request) {
			r.Header.Set("Length", strconv.Itoa(length))
			if tokens > 0 {
				r.Header.Set("Tokens", strconv.Itoa(tokens))
			}
		})
		return status, whole
	}
	for _, length := range []int{usual / 2, usual} {
		status, whole := stream(length, 4*length)
		is.True(whole && status == http.StatusOK)
	}
	status, whole := stream(1, 400) // one that stays far below its limit says little
	is.True(whole && status == http.StatusOK)
	w.gateway.StartDrain(time.Now().Add(1100 * time.Millisecond))
	for _, x := range []struct{ length, tokens, status int }{
		{80, 320, http.StatusServiceUnavailable}, // takes 1.6 s
		{usual, 0, http.StatusServiceUnavailable},
		{usual, 4 * usual, http.StatusOK},     // takes 0.2 s
		{2 * usual, 8 * usual, http.StatusOK}, // longer than all before, and has the time
	} {
		ran := b.ran()
		status, whole := stream(x.length, x.tokens)
		is.Equal(status, x.status)
		is.True(whole)
		is.Equal(b.ran() > ran, x.status == http.StatusOK)
	}
}

// Guards against a stream that waits in the queue until it can no longer end before the
// planned stop does.
func TestStreamThatStartsTooLateForPlannedStopIsRefused(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stream/first" {
			<-release
		}
		eventsFrom(1, false)(w, r)
	})
	w := newTestGateway(t, map[string][]*backend{"model": {b}})
	w.gateway.SetLimit("model", 1, 0)
	w.gateway.services.get("model").pace.record(time.Millisecond, 200*time.Millisecond, 100, 25, time.Now())
	go func() { w.ask(t, "POST", "/stream/first") }()
	for b.ran() == 0 {
		time.Sleep(time.Millisecond)
	}
	w.gateway.StartDrain(time.Now().Add(900 * time.Millisecond))
	time.AfterFunc(700*time.Millisecond, func() { close(release) })
	status, _, whole, _ := w.ask(t, "POST", "/stream/queued", func(r *http.Request) { r.Header.Set("Tokens", "100") })
	is.True(whole)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(b.ran(), 1)
}

// Guards against a request that is accepted late in a planned stop, because recent ones ended
// soon, and is cut when it takes as long as it may; and against refusing one that surely ends.
func TestRecentRequestsAreNoBoundLateInPlannedStop(t *testing.T) {
	is := is.New(t)
	const pace, limit = 20 * time.Millisecond, 240
	events := func(w http.ResponseWriter, r *http.Request) {
		n, _ := strconv.Atoi(r.Header.Get("Length"))
		for i := range n {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pace)
		}
	}
	w := newTestGateway(t, map[string][]*backend{"model": {newBackend(t, events)}, "plain": {newBackend(t, respond("answer"))}})
	ask := func(path string, length, tokens int) (status int) {
		status, _, whole, _ := w.ask(t, "POST", path, func(r *http.Request) {
			r.Header.Set("Length", strconv.Itoa(length))
			r.Header.Set("Tokens", strconv.Itoa(tokens))
		})
		is.True(whole)
		return status
	}
	for range 5 {
		is.Equal(ask("/stream/x", 3, limit), http.StatusOK)
		is.Equal(ask("/safe/1", 0, 0), http.StatusOK)
	}
	began := time.Now()
	w.gateway.StartDrain(began.Add(earlyStop + 2500*time.Millisecond))
	is.Equal(ask("/stream/x", 3, limit), http.StatusOK) // early
	time.Sleep(time.Until(began.Add(earlyStop + 100*time.Millisecond)))
	is.Equal(ask("/stream/x", limit, limit), http.StatusServiceUnavailable) // takes 4.8 s
	is.Equal(ask("/stream/x", 10, 10), http.StatusOK)                       // 1.2 s at the route's pace
	is.Equal(ask("/safe/1", 0, 0), http.StatusOK)                           // may take 2 s
	time.Sleep(time.Until(began.Add(earlyStop + 700*time.Millisecond)))
	is.Equal(ask("/safe/1", 0, 0), http.StatusServiceUnavailable)
}

// Guards against a request whose body arrives slowly and is judged by when it began.
func TestRequestIsJudgedWhenItIsRead(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, respond("answer"))
	w := newTestGateway(t, map[string][]*backend{"plain": {b}})
	w.ask(t, "POST", "/safe/1")
	body, send := io.Pipe()
	go func() {
		_, _ = send.Write([]byte("begin"))
		time.Sleep(300 * time.Millisecond)
		w.gateway.StartDrain(time.Now().Add(500 * time.Millisecond))
		_, _ = send.Write([]byte("end"))
		_ = send.Close()
	}()
	status, _, whole, _ := w.ask(t, "POST", "/unsafe/1", func(r *http.Request) { r.Body, r.ContentLength = body, -1 })
	is.True(whole)
	is.Equal(status, http.StatusServiceUnavailable) // may take 1.7 s more
	is.Equal(b.ran(), 1)
}

// Guards against a stream of an engine that is refused although its events hold several tokens.
func TestEventsOfAnEngineHoldTheTokensOfAPass(t *testing.T) {
	is := is.New(t)
	r := &request{RequestInfo: RequestInfo{MaxAnswerTokens: 241}, service: &deployment.Service{}}
	is.Equal(maxEvents(r), 241)
	r.service.Engine = &deployment.Engine{StepsPerPass: 4}
	is.Equal(maxEvents(r), 61)
}

// Guards against durations that are forgotten at once or kept for ever.
func TestLongestDurationIsRemembered(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var d durations
	is.Equal(d.longest(now), time.Duration(0))
	r := &request{arrived: now.Add(-3 * time.Second)}
	d.begin(r)
	is.Equal(d.longest(now), 3*time.Second)
	d.end(r, now)
	is.Equal(d.longest(now.Add(durationPeriod)), 3*time.Second)
	is.Equal(d.longest(now.Add(2*durationPeriod)), time.Duration(0))
}

// Guards against a stream that is accepted late in a planned stop, waits at its server, and is
// cut at the end of the stop; its caller must hear of it before. One whose first event comes in
// time is served.
func TestStreamThatWaitsAtItsServerIsNotCutByPlannedStop(t *testing.T) {
	is := is.New(t)
	const tokens = 10 // 1.2 s at the route's pace
	events := func(w http.ResponseWriter, r *http.Request) {
		wait, _ := strconv.Atoi(r.Header.Get("Wait"))
		time.Sleep(time.Duration(wait) * time.Millisecond)
		for i := range tokens {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(40 * time.Millisecond)
		}
	}
	w := newTestGateway(t, map[string][]*backend{"model": {newBackend(t, events)}})
	ask := func(wait time.Duration) (status int, whole bool) {
		status, _, whole, _ = w.ask(t, "POST", "/stream/x", func(r *http.Request) {
			r.Header.Set("Wait", strconv.Itoa(int(wait.Milliseconds())))
			r.Header.Set("Tokens", strconv.Itoa(tokens))
		})
		return status, whole
	}
	began := time.Now()
	w.gateway.StartDrain(began.Add(earlyStop + 3*time.Second))
	time.Sleep(time.Until(began.Add(earlyStop + 100*time.Millisecond)))
	status, whole := ask(400 * time.Millisecond)
	is.True(whole)
	is.Equal(status, http.StatusOK)
	status, whole = ask(1750 * time.Millisecond)
	is.True(whole)
	is.Equal(status, http.StatusBadGateway)
	is.True(time.Since(began) < earlyStop+2000*time.Millisecond)
}
