package gateway

import (
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// RequestInfo is what a caller's headers say about its request.
type RequestInfo struct {
	ID  fleet.RequestID
	Key string
	// Timeout is how long the caller waits; valid if HasTimeout is set.
	Timeout    time.Duration
	HasTimeout bool
	// LastEvent is the last event that the caller has of a stream, or -1.
	LastEvent int64
	// PromptTokens and AnswerTokens are estimates; 0 means unknown.
	PromptTokens, AnswerTokens int
}

// ForwardInfo is what the gateway adds to a request for a backend server.
type ForwardInfo struct {
	Account fleet.ClientAccount
	// Server is the ID of the server that may run the request.
	Server string
	// Timeout is the time that is left.
	Timeout time.Duration
	Urgency int
	// LastEvent is the event after which a stream goes on, or -1.
	LastEvent int64
}

// ResponseInfo is what a backend server's headers say about its answer.
type ResponseInfo struct {
	ID fleet.RequestID
	// NotRun tells that the server did not run the request.
	NotRun bool
	// Signed answers bear the server's signature over the body.
	Signed bool
	// FailedServer is the ID of another server that made the answer fail, if any.
	FailedServer string
	// HasLoad tells that Running and Waiting hold the server's requests.
	HasLoad          bool
	Running, Waiting int
}

// Headers translates the headers of requests and answers.
type Headers interface {
	Call(h http.Header) RequestInfo
	// Forward returns the headers for a backend server; in stays unchanged.
	Forward(in http.Header, f ForwardInfo) http.Header
	Reply(resp *http.Response) ResponseInfo
	// Answer returns a backend server's headers for the caller.
	Answer(in http.Header) http.Header
}
