package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/coltsfootbay/coltsfootbay/internal/events"
)

// MaxFrameBytes limits the length of one frame without its length field. It
// leaves room for a platform document of 1 MiB, which hardly grows in CBOR, and
// the fields around it.
const MaxFrameBytes = 2 << 20

// The frame header has 4 bytes of length, 1 byte of message kind and 8 bytes of
// timestamp. The length does not include the length field itself.
const (
	lengthBytes    = 4
	kindBytes      = 1
	timestampBytes = 8
	headerBytes    = lengthBytes + kindBytes + timestampBytes
)

// ErrFrame is returned for a frame that is too long or too short, has an
// unknown message kind, or has a body that cannot be decoded.
var ErrFrame = errors.New("malformed frame")

// kind is the message type in a frame header. The values are part of the
// protocol.
type kind uint8

const (
	kindOpen kind = iota + 1
	kindHello
	kindHeartbeat
	kindReport
	kindMembers
	kindConfigDigest
	kindConfigDocs
	kindSuspicions
	kindSuspicionAck
	kindSubmit
	kindAttach
	kindResolve
	kindCancel
	kindAccepted
	kindBegun
	kindPart
	kindResponse
	kindChunk
	kindDone
	kindRefused
	kindLeaseClaim
	kindLease
	kindOrderRequest
	kindOrderResult
	kindMapCall
	kindMapAnswer
	kindConfigOffer
	kindConfigRequest
	// kindEnd is one more than the last kind.
	kindEnd
)

func (*Open) messageKind() kind          { return kindOpen }
func (*Hello) messageKind() kind         { return kindHello }
func (*Heartbeat) messageKind() kind     { return kindHeartbeat }
func (*Report) messageKind() kind        { return kindReport }
func (*Members) messageKind() kind       { return kindMembers }
func (*ConfigDigest) messageKind() kind  { return kindConfigDigest }
func (*ConfigDocs) messageKind() kind    { return kindConfigDocs }
func (*Suspicions) messageKind() kind    { return kindSuspicions }
func (*SuspicionAck) messageKind() kind  { return kindSuspicionAck }
func (*Submit) messageKind() kind        { return kindSubmit }
func (*Attach) messageKind() kind        { return kindAttach }
func (*Resolve) messageKind() kind       { return kindResolve }
func (*Cancel) messageKind() kind        { return kindCancel }
func (*Accepted) messageKind() kind      { return kindAccepted }
func (*Begun) messageKind() kind         { return kindBegun }
func (*Part) messageKind() kind          { return kindPart }
func (*Response) messageKind() kind      { return kindResponse }
func (*Chunk) messageKind() kind         { return kindChunk }
func (*Done) messageKind() kind          { return kindDone }
func (*Refused) messageKind() kind       { return kindRefused }
func (*LeaseClaim) messageKind() kind    { return kindLeaseClaim }
func (*Lease) messageKind() kind         { return kindLease }
func (*OrderRequest) messageKind() kind  { return kindOrderRequest }
func (*OrderResult) messageKind() kind   { return kindOrderResult }
func (*MapCall) messageKind() kind       { return kindMapCall }
func (*MapAnswer) messageKind() kind     { return kindMapAnswer }
func (*ConfigOffer) messageKind() kind   { return kindConfigOffer }
func (*ConfigRequest) messageKind() kind { return kindConfigRequest }

// newMessage returns an empty message of kind k, or nil if k is unknown.
func newMessage(k kind) Message {
	switch k {
	case kindOpen:
		return &Open{}
	case kindHello:
		return &Hello{}
	case kindHeartbeat:
		return &Heartbeat{}
	case kindReport:
		return &Report{}
	case kindMembers:
		return &Members{}
	case kindConfigDigest:
		return &ConfigDigest{}
	case kindConfigDocs:
		return &ConfigDocs{}
	case kindSuspicions:
		return &Suspicions{}
	case kindSuspicionAck:
		return &SuspicionAck{}
	case kindSubmit:
		return &Submit{}
	case kindAttach:
		return &Attach{}
	case kindResolve:
		return &Resolve{}
	case kindCancel:
		return &Cancel{}
	case kindAccepted:
		return &Accepted{}
	case kindBegun:
		return &Begun{}
	case kindPart:
		return &Part{}
	case kindResponse:
		return &Response{}
	case kindChunk:
		return &Chunk{}
	case kindDone:
		return &Done{}
	case kindRefused:
		return &Refused{}
	case kindLeaseClaim:
		return &LeaseClaim{}
	case kindLease:
		return &Lease{}
	case kindOrderRequest:
		return &OrderRequest{}
	case kindOrderResult:
		return &OrderResult{}
	case kindMapCall:
		return &MapCall{}
	case kindMapAnswer:
		return &MapAnswer{}
	case kindConfigOffer:
		return &ConfigOffer{}
	case kindConfigRequest:
		return &ConfigRequest{}
	}
	return nil
}

// decoder limits nesting and element counts, because frames come from other
// processes.
var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 12}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encoder uses the default options.
var encoder = mustEncoder()

func mustEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// maxPooledBytes limits the size of buffers that are kept for reuse, so that a
// large document does not stay in memory.
const maxPooledBytes = 64 << 10

var frameBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Write encodes m and writes it as one frame with the given timestamp. It
// returns ErrFrame if the frame exceeds MaxFrameBytes, or the writer's error.
func Write(w io.Writer, stamp events.Timestamp, m Message) error {
	frame := frameBuffers.Get().(*bytes.Buffer)
	defer func() {
		if frame.Cap() <= maxPooledBytes {
			frameBuffers.Put(frame)
		}
	}()
	frame.Reset()
	var header [headerBytes]byte
	frame.Write(header[:])
	if err := encoder.MarshalToBuffer(m, frame); err != nil {
		return fmt.Errorf("encode %T: %w", m, err)
	}
	length := frame.Len() - lengthBytes
	if length > MaxFrameBytes {
		return fmt.Errorf("%w: %T of %d bytes exceeds the limit of %d", ErrFrame, m, length, MaxFrameBytes)
	}
	data := frame.Bytes()
	binary.BigEndian.PutUint32(data, uint32(length))
	data[lengthBytes] = byte(m.messageKind())
	binary.BigEndian.PutUint64(data[lengthBytes+kindBytes:], uint64(stamp))
	_, err := w.Write(data)
	return err
}

// bodyBuffers are reused, because the decoder copies the data that it keeps.
var bodyBuffers = sync.Pool{New: func() any { return new([]byte) }}

// Read reads one frame. It returns ErrFrame for malformed content and otherwise
// the reader's error. At the end of the input between two frames, this is
// io.EOF.
func Read(r io.Reader) (Message, events.Timestamp, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < kindBytes+timestampBytes || length > MaxFrameBytes {
		return nil, 0, fmt.Errorf("%w: length %d", ErrFrame, length)
	}
	m := newMessage(kind(header[lengthBytes]))
	if m == nil {
		return nil, 0, fmt.Errorf("%w: kind %d", ErrFrame, header[lengthBytes])
	}
	if err := readBody(r, int(length-kindBytes-timestampBytes), m); err != nil {
		return nil, 0, err
	}
	return m, events.Timestamp(binary.BigEndian.Uint64(header[lengthBytes+kindBytes:])), nil
}

func readBody(r io.Reader, length int, m Message) error {
	body := bodyBuffers.Get().(*[]byte)
	defer func() {
		if cap(*body) <= maxPooledBytes {
			bodyBuffers.Put(body)
		}
	}()
	*body = slices.Grow((*body)[:0], length)[:length]
	if _, err := io.ReadFull(r, *body); err != nil {
		return err
	}
	if err := decoder.Unmarshal(*body, m); err != nil {
		return fmt.Errorf("%w: %v", ErrFrame, err)
	}
	return nil
}
