// Package wire defines the messages that coltsfootbay processes exchange, and
// their framing. The protocol is internal: all processes of a fleet must run
// releases with the same wire version.
package wire

import (
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// StreamKind is the purpose of a QUIC stream.
type StreamKind uint8

// Kinds of streams. A control stream carries state and configuration between two
// processes. A request stream carries one request or call.
const (
	StreamControl StreamKind = 1
	StreamRequest StreamKind = 2
)

// Message is implemented by pointers to the message types of this package.
type Message interface {
	messageKind() kind
}

// Open is the first message on every stream.
type Open struct {
	Stream StreamKind `cbor:"1,keyasint"`
}

// Hello identifies a process. It is the first message that each side sends on a
// control stream.
type Hello struct {
	Process      fleet.ProcessID        `cbor:"1,keyasint"`
	Start        fleet.StartID          `cbor:"2,keyasint"`
	Role         fleet.Role             `cbor:"3,keyasint"`
	Zone         fleet.AvailabilityZone `cbor:"4,keyasint"`
	Address      string                 `cbor:"5,keyasint"`
	AdminAddress string                 `cbor:"6,keyasint"`
	// CallerAddress is the address at which an entry VM accepts callers. It is
	// empty for agents.
	CallerAddress string `cbor:"7,keyasint,omitempty"`
}

// Heartbeat shows that the sender is alive and which configuration it holds.
type Heartbeat struct {
	Count          uint64 `cbor:"1,keyasint"`
	Leaving        bool   `cbor:"2,keyasint,omitempty"`
	ConfigHash     uint64 `cbor:"3,keyasint"`
	ConfigRevision uint64 `cbor:"4,keyasint"`
	// PlatformAge is the time, in milliseconds, since this process, or any
	// process whose messages it received, last got an answer from the platform.
	PlatformAge int64 `cbor:"5,keyasint"`
	// ReportUptime is the agent's uptime in milliseconds if the last report on
	// this control stream is still current, and zero otherwise. ReportUptime
	// and ReportSequence then replace the uptime and the sequence number of
	// that report.
	ReportUptime   int64  `cbor:"6,keyasint,omitempty"`
	ReportSequence uint64 `cbor:"7,keyasint,omitempty"`
}

// Report is the state of an agent. Agents send it when it changes; in between,
// heartbeats confirm that it is still current.
type Report struct {
	// Sequence increases by one with every report of the same start.
	Sequence uint64 `cbor:"1,keyasint"`
	// Uptime is the agent's uptime on the monotonic clock, in milliseconds.
	Uptime  int64  `cbor:"2,keyasint"`
	Leaving bool   `cbor:"3,keyasint,omitempty"`
	Service string `cbor:"4,keyasint,omitempty"`
	Model   string `cbor:"5,keyasint,omitempty"`
	// Adapters lists the adapters that the engine has loaded.
	Adapters []string `cbor:"6,keyasint,omitempty"`
	ServerUp bool     `cbor:"7,keyasint"`
	// ServerStart identifies the current start of the backend server.
	ServerStart string `cbor:"8,keyasint,omitempty"`
	Running     int    `cbor:"9,keyasint"`
	Queued      int    `cbor:"10,keyasint"`
	// Slots is the number of requests that the backend server can run at a
	// time.
	Slots int `cbor:"11,keyasint"`
	// QueuedTokens is the estimated work of queued and running requests, in
	// tokens.
	QueuedTokens int64 `cbor:"12,keyasint"`
	// TokensPerSecond is the measured rate at which the backend server
	// completes estimated tokens.
	TokensPerSecond float64 `cbor:"13,keyasint"`
	// CachedPrefixes holds hashes of the prompt prefixes that the engine has
	// cached.
	CachedPrefixes []uint64 `cbor:"14,keyasint,omitempty"`
	// Version and Role are the version and the role that the engine reports, or
	// empty.
	Version string `cbor:"15,keyasint,omitempty"`
	Role    string `cbor:"16,keyasint,omitempty"`
	// FailureRate is the moving average of the share of failed runs, from 0 to
	// 1, since the start of the backend server. FailedRuns is the number of
	// failed runs since then.
	FailureRate float64 `cbor:"17,keyasint,omitempty"`
	FailedRuns  uint64  `cbor:"18,keyasint,omitempty"`
}

// Member is the gossip about one process.
type Member struct {
	Hello Hello `cbor:"1,keyasint"`
	// Count is the highest known heartbeat count of the process start in Hello.
	Count   uint64 `cbor:"2,keyasint"`
	Leaving bool   `cbor:"3,keyasint,omitempty"`
	// Age is the time, in milliseconds, since the sender last learned of a
	// higher Count, directly or through other processes.
	Age int64 `cbor:"4,keyasint"`
}

type Members struct {
	Members []Member `cbor:"1,keyasint"`
}

// Document is one revision of a platform document.
type Document struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	Revision uint64 `cbor:"2,keyasint" json:"revision"`
	Deleted  bool   `cbor:"3,keyasint,omitempty" json:"deleted,omitempty"`
	Body     string `cbor:"4,keyasint,omitempty" json:"body,omitempty"`
}

// DocumentVersion lists the revisions of a document that a process holds: the
// latest one and the last valid one.
type DocumentVersion struct {
	Name      string `cbor:"1,keyasint"`
	Latest    uint64 `cbor:"2,keyasint"`
	LastValid uint64 `cbor:"3,keyasint"`
}

// ConfigDigest lists the documents that the sender holds. The receiver answers
// with the documents that the sender lacks.
type ConfigDigest struct {
	Versions []DocumentVersion `cbor:"1,keyasint"`
	// StoreRevision is the highest platform revision that the sender has seen.
	StoreRevision uint64 `cbor:"2,keyasint"`
	// Reply asks the receiver to send its own digest back.
	Reply bool `cbor:"3,keyasint,omitempty"`
}

// ConfigDocs carries documents. The sender splits them into several messages to
// stay within MaxFrameBytes.
type ConfigDocs struct {
	Documents     []Document `cbor:"1,keyasint"`
	StoreRevision uint64     `cbor:"2,keyasint"`
}

// DocumentOffer names a revision of a document that the sender holds.
type DocumentOffer struct {
	Name     string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// BodyHash distinguishes different contents that a faulty platform sent
	// under the same revision.
	BodyHash uint64 `cbor:"3,keyasint"`
}

// ConfigOffer names documents that are too large to be sent over every link.
type ConfigOffer struct {
	Documents     []DocumentOffer `cbor:"1,keyasint"`
	StoreRevision uint64          `cbor:"2,keyasint"`
}

// ConfigRequest requests offered documents. The answer is ConfigDocs.
type ConfigRequest struct {
	Names []string `cbor:"1,keyasint"`
}

// Crash identifies a backend server start that crashed while a request ran on
// it. Agent names the server's agent, or the server itself if it has none.
type Crash struct {
	Agent       fleet.ProcessID `cbor:"1,keyasint"`
	ServerStart string          `cbor:"2,keyasint"`
	// NotBegun is true if the response to the request had not begun. Such a crash
	// does not count if the response to another request had begun.
	NotBegun bool `cbor:"3,keyasint,omitempty"`
	// BeforeSuspicion is true if the request was sent before its fingerprint was
	// under suspicion, possibly together with others.
	BeforeSuspicion bool `cbor:"4,keyasint,omitempty"`
	// Unproven identifies the set of the request's properties that are not known to be
	// safe, if its response had begun; otherwise it is 0.
	Unproven uint64 `cbor:"5,keyasint,omitempty"`
	// Conclusive is true if no other set of properties can be the cause as far as the
	// sender knows.
	Conclusive bool `cbor:"6,keyasint,omitempty"`
	// Streamed is set if events of the response had been sent: one more than the highest
	// Streamed of the crashes of the same request that were known when it was sent. 0 means
	// that there were no events.
	Streamed uint8 `cbor:"7,keyasint,omitempty"`
}

// Suspicion lists the backend server starts that crashed while a request ran on
// them.
type Suspicion struct {
	Fingerprint uint64              `cbor:"1,keyasint"`
	Account     fleet.ClientAccount `cbor:"2,keyasint"`
	Crashes     []Crash             `cbor:"3,keyasint"`
	// Remaining is the time until the suspicion expires, in milliseconds.
	Remaining int64 `cbor:"4,keyasint"`
	// Lifts counts how often the suspicion was lifted. Crashes that were
	// recorded with a lower count no longer apply.
	Lifts uint32 `cbor:"5,keyasint,omitempty"`
	// Members is set if it is not known which of several fingerprints is the cause.
	// The suspicion then applies to requests that have all members which are still
	// under suspicion, and Fingerprint identifies the set.
	Members []uint64 `cbor:"6,keyasint,omitempty"`
}

// Suspicions carries suspicions. The receiver merges them and then answers with
// a SuspicionAck that has the same sequence number.
type Suspicions struct {
	Sequence   uint64      `cbor:"1,keyasint"`
	Suspicions []Suspicion `cbor:"2,keyasint"`
}

// SuspicionAck confirms that a Suspicions message was merged.
type SuspicionAck struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// Submit asks an agent to run a request. It is the second message on a
// request stream. Exactly one of Completion and Service is set.
type Submit struct {
	Request fleet.RequestID     `cbor:"1,keyasint"`
	Attempt uint32              `cbor:"2,keyasint"`
	Account fleet.ClientAccount `cbor:"3,keyasint"`
	Rank    fleet.Rank          `cbor:"4,keyasint"`
	// Ticket is set for non-idempotent requests.
	Ticket string `cbor:"5,keyasint,omitempty"`
	// RemainingMS is the time that the caller still waits, in milliseconds.
	RemainingMS int64       `cbor:"6,keyasint"`
	Fingerprint uint64      `cbor:"7,keyasint"`
	Completion  *Completion `cbor:"8,keyasint,omitempty"`
	Service     *Service    `cbor:"9,keyasint,omitempty"`
	// DeadlineUptime is the agent's uptime at the deadline, in milliseconds.
	// Unlike RemainingMS, it includes the time in transit. It is zero if the
	// sender has no report of the agent's start.
	DeadlineUptime int64 `cbor:"10,keyasint,omitempty"`
	// Properties holds the fingerprints of what the request has in common with others.
	Properties []uint64 `cbor:"11,keyasint,omitempty"`
}

// Fingerprints returns the fingerprint of the request, followed by those of its
// properties.
func (m *Submit) Fingerprints() []uint64 {
	return append([]uint64{m.Fingerprint}, m.Properties...)
}

// Completion is a request to a model engine.
type Completion struct {
	Model     string `cbor:"1,keyasint"`
	Adapter   string `cbor:"2,keyasint,omitempty"`
	Prompt    string `cbor:"3,keyasint"`
	MaxTokens int    `cbor:"4,keyasint"`
	// Generated is the text that earlier attempts have generated.
	Generated string `cbor:"5,keyasint,omitempty"`
	// NextPart is the number of the first part to send.
	NextPart uint64 `cbor:"6,keyasint,omitempty"`
}

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Service is a request to a plain service.
type Service struct {
	Name       string   `cbor:"1,keyasint"`
	Method     string   `cbor:"2,keyasint"`
	Path       string   `cbor:"3,keyasint"`
	Query      string   `cbor:"4,keyasint,omitempty"`
	Headers    []Header `cbor:"5,keyasint,omitempty"`
	Body       []byte   `cbor:"6,keyasint,omitempty"`
	Idempotent bool     `cbor:"7,keyasint,omitempty"`
}

// Attach requests the parts of a stream, starting at NextPart.
type Attach struct {
	Request  fleet.RequestID     `cbor:"1,keyasint"`
	Account  fleet.ClientAccount `cbor:"2,keyasint"`
	Start    fleet.StartID       `cbor:"3,keyasint"`
	NextPart uint64              `cbor:"4,keyasint"`
	// RemainingMS is the time that the caller still waits, in milliseconds.
	RemainingMS int64 `cbor:"5,keyasint"`
}

// Resolve requests the result of a ticket's request. If the request has not
// begun, the agent marks the ticket as spent, so that the answer remains true.
type Resolve struct {
	Ticket  string              `cbor:"1,keyasint"`
	Account fleet.ClientAccount `cbor:"2,keyasint"`
	// RemainingMS is the time that the caller still waits, in milliseconds.
	RemainingMS int64 `cbor:"3,keyasint"`
}

// Cancel tells an agent that the caller no longer waits for the answer.
type Cancel struct{}

// Accepted reports that a request was accepted by the agent with the given
// start.
type Accepted struct {
	Start fleet.StartID `cbor:"1,keyasint"`
}

// Begun reports that the call to the backend server has begun.
type Begun struct{}

// Part is one numbered piece of a streamed answer.
type Part struct {
	Attempt uint32 `cbor:"1,keyasint"`
	Number  uint64 `cbor:"2,keyasint"`
	Text    string `cbor:"3,keyasint"`
	Tokens  int    `cbor:"4,keyasint"`
}

// Response is the status and headers of a plain service's response. Chunk
// messages with the body follow, and then Done.
type Response struct {
	Status  int      `cbor:"1,keyasint"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
	// BodyOmitted reports whether the body is missing because the agent no
	// longer keeps it.
	BodyOmitted bool `cbor:"3,keyasint,omitempty"`
}

// Chunk is a piece of a plain service's response body.
type Chunk struct {
	Data []byte `cbor:"1,keyasint"`
}

// Done is the last message of a successful request.
type Done struct {
	PromptTokens     int    `cbor:"1,keyasint,omitempty"`
	CompletionTokens int    `cbor:"2,keyasint,omitempty"`
	FinishReason     string `cbor:"3,keyasint,omitempty"`
	// Parts is the total number of parts of the answer.
	Parts uint64 `cbor:"4,keyasint,omitempty"`
}

// Refused is the last message of a failed request.
type Refused struct {
	Verdict     verdict.Verdict `cbor:"1,keyasint"`
	Reason      verdict.Reason  `cbor:"2,keyasint"`
	Status      int             `cbor:"3,keyasint"`
	RetryAfter  int64           `cbor:"4,keyasint,omitempty"` // milliseconds
	TicketSpent bool            `cbor:"5,keyasint,omitempty"`
	Detail      string          `cbor:"6,keyasint,omitempty"`
}
