package gateway

import (
	"net/http"
	"time"

	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
)

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	ID  fleet.RequestID
	Key string
	// Timeout is how long the caller waits; valid only if HasTimeout is set.
	Timeout    time.Duration
	HasTimeout bool
	// LastEvent is the ID of the last event of a stream that the caller has received,
	// or -1.
	LastEvent int64
	// PromptTokens and AnswerTokens are estimated lengths in tokens; 0 if unknown.
	PromptTokens, AnswerTokens int
	// MaxAnswerTokens is the limit of the answer's length in tokens; 0 if there is none.
	MaxAnswerTokens int
	// PromptParts holds the IDs of the parts of the prompt that other requests may
	// contain as well: all but the last.
	PromptParts []string
}

// ForwardInfo is the information that the gateway adds to a request for a backend
// server.
type ForwardInfo struct {
	Account fleet.ClientAccount
	// Server is the ID of the server that may run the request.
	Server string
	// Timeout is the remaining time of the request.
	Timeout time.Duration
	Urgency int
	// LastEvent is the ID of the event after which a stream continues, or -1.
	LastEvent int64
}

// ResponseInfo is the information in the headers of a backend server's response.
type ResponseInfo struct {
	ID fleet.RequestID
	// NotRun is true if the server did not run the request.
	NotRun bool
	// Signed is true if the response carries the server's signature over the body.
	Signed bool
	// FailedServer is the ID of another server that caused the response to fail, if
	// any.
	FailedServer string
	// HasLoad is true if Running and Waiting hold the numbers of requests that run and
	// wait at the server.
	HasLoad          bool
	Running, Waiting int
}

// Headers reads and writes the headers of requests and responses.
type Headers interface {
	// Call returns the information in the headers of a caller's request.
	Call(h http.Header) RequestInfo
	// Forward returns the headers for a backend server. It does not change in.
	Forward(in http.Header, f ForwardInfo) http.Header
	// Reply returns the information in the headers of a backend server's response.
	Reply(resp *http.Response) ResponseInfo
	// Answer returns the headers for the caller, given those of a backend server.
	Answer(in http.Header) http.Header
}
