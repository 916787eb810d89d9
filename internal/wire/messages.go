// Package wire defines the messages that coltsfootbay processes exchange and
// their framing. The protocol is internal: all processes of a fleet belong to
// releases that share a wire version.
package wire

import (
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/verdict"
)

// StreamKind tells what a QUIC stream is for.
type StreamKind uint8

// Kinds of stream.
const (
	StreamControl StreamKind = 1
	StreamRequest StreamKind = 2
)

// Message is one of the message types of this package.
type Message interface {
	messageKind() kind
}

// Open is the first message on every stream.
type Open struct {
	Stream StreamKind `cbor:"1,keyasint"`
}

// Hello introduces a process on a control stream; both sides send it first.
type Hello struct {
	Process      fleet.ProcessID        `cbor:"1,keyasint"`
	Start        fleet.StartID          `cbor:"2,keyasint"`
	Role         fleet.Role             `cbor:"3,keyasint"`
	Zone         fleet.AvailabilityZone `cbor:"4,keyasint"`
	Address      string                 `cbor:"5,keyasint"`
	AdminAddress string                 `cbor:"6,keyasint"`
	// CallerAddress is where an entry VM accepts callers; empty for agents.
	CallerAddress string `cbor:"7,keyasint,omitempty"`
}

// Heartbeat shows that the sender is alive and what configuration it holds.
type Heartbeat struct {
	Count          uint64 `cbor:"1,keyasint"`
	Leaving        bool   `cbor:"2,keyasint,omitempty"`
	ConfigHash     uint64 `cbor:"3,keyasint"`
	ConfigRevision uint64 `cbor:"4,keyasint"`
	// PlatformAge is the number of milliseconds since this process, or any
	// process it heard from, last got an answer from the platform.
	PlatformAge int64 `cbor:"5,keyasint"`
	// ReportUptime is set, to the agent's uptime in milliseconds, when the last
	// report on this control stream still holds but for its uptime and its
	// sequence number, which ReportSequence replaces.
	ReportUptime   int64  `cbor:"6,keyasint,omitempty"`
	ReportSequence uint64 `cbor:"7,keyasint,omitempty"`
}

// Report is an agent's state. Agents push it on changes; while it holds, a
// heartbeat says so.
type Report struct {
	// Sequence grows by one with every report of one start.
	Sequence uint64 `cbor:"1,keyasint"`
	// Uptime is the agent's monotonic uptime in milliseconds.
	Uptime  int64  `cbor:"2,keyasint"`
	Leaving bool   `cbor:"3,keyasint,omitempty"`
	Service string `cbor:"4,keyasint,omitempty"`
	Model   string `cbor:"5,keyasint,omitempty"`
	// Adapters lists the adapters that the engine holds.
	Adapters []string `cbor:"6,keyasint,omitempty"`
	ServerUp bool     `cbor:"7,keyasint"`
	// ServerStart identifies the start of the backend server.
	ServerStart string `cbor:"8,keyasint,omitempty"`
	Running     int    `cbor:"9,keyasint"`
	Queued      int    `cbor:"10,keyasint"`
	// Slots is how many requests the backend server runs at a time.
	Slots int `cbor:"11,keyasint"`
	// QueuedTokens is the estimated work that waits or runs, in tokens.
	QueuedTokens int64 `cbor:"12,keyasint"`
	// TokensPerSecond is the measured service rate of the backend server.
	TokensPerSecond float64 `cbor:"13,keyasint"`
	// CachedPrefixes holds hashes of prompt prefixes that the engine caches.
	CachedPrefixes []uint64 `cbor:"14,keyasint,omitempty"`
	// Version and Role are what the engine holds and does, if it says so.
	Version string `cbor:"15,keyasint,omitempty"`
	Role    string `cbor:"16,keyasint,omitempty"`
	// FailedShare is the moving average of the failed runs of the server start,
	// from 0 to 1, and FailedRuns their number.
	FailedShare float64 `cbor:"17,keyasint,omitempty"`
	FailedRuns  uint64  `cbor:"18,keyasint,omitempty"`
}

// Member is what gossip carries about a process.
type Member struct {
	Hello Hello `cbor:"1,keyasint"`
	// Count is the newest heartbeat count seen of that start.
	Count   uint64 `cbor:"2,keyasint"`
	Leaving bool   `cbor:"3,keyasint,omitempty"`
	// Age is the number of milliseconds since the sender, directly or through
	// others, last learned of a higher Count.
	Age int64 `cbor:"4,keyasint"`
}

// Members carries gossip about other processes.
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

// DocumentVersion names the revisions of a document that a process holds.
type DocumentVersion struct {
	Name   string `cbor:"1,keyasint"`
	Latest uint64 `cbor:"2,keyasint"`
	Good   uint64 `cbor:"3,keyasint"`
}

// ConfigDigest lists what the sender holds; the receiver answers with the
// documents that the sender lacks.
type ConfigDigest struct {
	Versions []DocumentVersion `cbor:"1,keyasint"`
	// StoreRevision is the highest platform revision that the sender has seen.
	StoreRevision uint64 `cbor:"2,keyasint"`
	// Reply asks the receiver to send its own digest back.
	Reply bool `cbor:"3,keyasint,omitempty"`
}

// ConfigDocs carries documents, split so that a frame stays within its bound.
type ConfigDocs struct {
	Documents     []Document `cbor:"1,keyasint"`
	StoreRevision uint64     `cbor:"2,keyasint"`
}

// DocumentOffer names a revision of a document that the sender holds.
type DocumentOffer struct {
	Name     string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// BodyHash tells contents apart that a faulty platform sent under one
	// revision.
	BodyHash uint64 `cbor:"3,keyasint"`
}

// ConfigOffer names documents that are too large to be sent over every link.
type ConfigOffer struct {
	Documents     []DocumentOffer `cbor:"1,keyasint"`
	StoreRevision uint64          `cbor:"2,keyasint"`
}

// ConfigRequest asks for offered documents; the answer is ConfigDocs.
type ConfigRequest struct {
	Names []string `cbor:"1,keyasint"`
}

// Crash names one backend server start that ended while a request ran on it.
type Crash struct {
	Agent       fleet.ProcessID `cbor:"1,keyasint"`
	ServerStart string          `cbor:"2,keyasint"`
}

// Suspicion says which backend servers ended while a request ran on them.
type Suspicion struct {
	Fingerprint uint64              `cbor:"1,keyasint"`
	Account     fleet.ClientAccount `cbor:"2,keyasint"`
	Crashes     []Crash             `cbor:"3,keyasint"`
	// Remaining is the number of milliseconds until the suspicion expires.
	Remaining int64 `cbor:"4,keyasint"`
	// Lifts counts how often the suspicion was cleared; crashes of a lower
	// count are void.
	Lifts uint32 `cbor:"5,keyasint,omitempty"`
}

// Suspicions carries suspicions; the receiver merges them and then sends
// SuspicionAck with the same sequence number.
type Suspicions struct {
	Sequence   uint64      `cbor:"1,keyasint"`
	Suspicions []Suspicion `cbor:"2,keyasint"`
}

// SuspicionAck confirms a Suspicions message.
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
	// Deadline is the number of milliseconds that the caller still waits.
	Deadline    int64       `cbor:"6,keyasint"`
	Fingerprint uint64      `cbor:"7,keyasint"`
	Completion  *Completion `cbor:"8,keyasint,omitempty"`
	Service     *Service    `cbor:"9,keyasint,omitempty"`
	// DeadlineUptime is the same deadline as the agent's uptime in
	// milliseconds, so that the time on the way counts. Zero if the sender has
	// no report of the agent's start.
	DeadlineUptime int64 `cbor:"10,keyasint,omitempty"`
}

// Completion is a request to a model engine.
type Completion struct {
	Model     string `cbor:"1,keyasint"`
	Adapter   string `cbor:"2,keyasint,omitempty"`
	Prompt    string `cbor:"3,keyasint"`
	MaxTokens int    `cbor:"4,keyasint"`
	// Generated is the text that an earlier attempt produced.
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

// Attach asks an agent for the parts of a stream from NextPart on.
type Attach struct {
	Request  fleet.RequestID     `cbor:"1,keyasint"`
	Account  fleet.ClientAccount `cbor:"2,keyasint"`
	Start    fleet.StartID       `cbor:"3,keyasint"`
	NextPart uint64              `cbor:"4,keyasint"`
	// Deadline is the number of milliseconds that the caller still waits.
	Deadline int64 `cbor:"5,keyasint"`
}

// Resolve asks an agent what became of a ticket. An unseen ticket is spent by
// the question, so the answer stays true.
type Resolve struct {
	Ticket  string              `cbor:"1,keyasint"`
	Account fleet.ClientAccount `cbor:"2,keyasint"`
	// Deadline is the number of milliseconds that the caller still waits.
	Deadline int64 `cbor:"3,keyasint"`
}

// Cancel tells an agent that the caller has hung up.
type Cancel struct{}

// Accepted says that a request is queued at the agent.
type Accepted struct {
	Start fleet.StartID `cbor:"1,keyasint"`
}

// Begun says that the call to the backend server has begun.
type Begun struct{}

// Part is one numbered piece of a streamed answer.
type Part struct {
	Attempt uint32 `cbor:"1,keyasint"`
	Number  uint64 `cbor:"2,keyasint"`
	Text    string `cbor:"3,keyasint"`
	Tokens  int    `cbor:"4,keyasint"`
}

// Response is the head of a plain service's answer; Chunk messages and Done
// follow.
type Response struct {
	Status  int      `cbor:"1,keyasint"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
	// BodyOmitted tells that the run completed but its body is no longer kept.
	BodyOmitted bool `cbor:"3,keyasint,omitempty"`
}

// Chunk is a piece of a plain service's response body.
type Chunk struct {
	Data []byte `cbor:"1,keyasint"`
}

// Done ends a successful request.
type Done struct {
	PromptTokens     int    `cbor:"1,keyasint,omitempty"`
	CompletionTokens int    `cbor:"2,keyasint,omitempty"`
	FinishReason     string `cbor:"3,keyasint,omitempty"`
	// Parts is the number of parts of the whole answer.
	Parts uint64 `cbor:"4,keyasint,omitempty"`
}

// Refused ends a failed request.
type Refused struct {
	Verdict     verdict.Verdict `cbor:"1,keyasint"`
	Reason      verdict.Reason  `cbor:"2,keyasint"`
	Status      int             `cbor:"3,keyasint"`
	RetryAfter  int64           `cbor:"4,keyasint,omitempty"` // milliseconds
	TicketSpent bool            `cbor:"5,keyasint,omitempty"`
	Detail      string          `cbor:"6,keyasint,omitempty"`
}
