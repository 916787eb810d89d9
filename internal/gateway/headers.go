package gateway

import (
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// Call is what a caller's headers say about its request.
type Call struct {
	ID  fleet.RequestID
	Key string
	// Patience is how long the caller waits; valid if HasPatience is set.
	Patience    time.Duration
	HasPatience bool
	// LastEvent is the last event that the caller has of a stream, or -1.
	LastEvent int64
	// PromptTokens and AnswerTokens are estimates; 0 means unknown.
	PromptTokens, AnswerTokens int
}

// Forward is what the gateway adds to a request for a backend server.
type Forward struct {
	Account fleet.ClientAccount
	// Server is the ID of the server that may run the request.
	Server string
	// Patience is the time that is left.
	Patience time.Duration
	Urgency  int
	// LastEvent is the event after which a stream goes on, or -1.
	LastEvent int64
}

// Reply is what a backend server's headers say about its answer.
type Reply struct {
	ID fleet.RequestID
	// NotRun tells that the server did not run the request.
	NotRun bool
	// Signed answers bear the server's signature over the body.
	Signed bool
	// AtFault is the ID of another server that made the answer fail, if any.
	AtFault string
	// HasLoad tells that Running and Waiting hold the server's requests.
	HasLoad          bool
	Running, Waiting int
}

// Headers translates the headers of requests and answers.
type Headers interface {
	Call(h http.Header) Call
	// Forward returns the headers for a backend server; in stays unchanged.
	Forward(in http.Header, f Forward) http.Header
	Reply(resp *http.Response) Reply
	// Answer returns a backend server's headers for the caller.
	Answer(in http.Header) http.Header
}
