package scheduler

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Event is something that happened. Events reach the decisions through the replicated log.
type Event interface{ event() }

// ApplyManifest asks to put a manifest in force.
type ApplyManifest struct {
	Text []byte `json:"text"`
}

// Announce tells of a worker: a new one, one that restarted, or one that is leaving.
type Announce struct {
	Worker WorkerInfo `json:"worker"`
}

// Lost tells that a worker's leases have run out without a sign of life.
type Lost struct {
	Worker      string `json:"worker"`
	Incarnation uint64 `json:"incarnation"`
}

// Submit asks to run a job.
type Submit struct {
	Org string     `json:"org"`
	Key string     `json:"key"`
	Job parser.Job `json:"job"`
}

// Cancel asks to end jobs of one organisation.
type Cancel struct {
	Org  string   `json:"org"`
	Keys []string `json:"keys"`
}

// Report carries what workers said of attempts.
type Report struct {
	Acks []Ack `json:"acks"`
}

// ChangeQueues carries what a leader decided on queues. It is encoded apart from the other events,
// as it is by far the most frequent one.
type ChangeQueues struct{ Change *messages.QueueChange }

// Tick lets due deadlines act.
type Tick struct{}

func (ApplyManifest) event() {}
func (Announce) event()      {}
func (Lost) event()          {}
func (Submit) event()        {}
func (Cancel) event()        {}
func (Report) event()        {}
func (ChangeQueues) event()  {}
func (Tick) event()          {}

// WorkerInfo is what a worker announces.
type WorkerInfo struct {
	Name         string         `json:"name"`
	Place        string         `json:"place"`
	Rack         string         `json:"rack"`
	Service      string         `json:"service"`
	Address      netip.AddrPort `json:"address"`
	Incarnation  uint64         `json:"incarnation"` // grows with each start of the worker
	Slots        int            `json:"slots"`
	Connections  int            `json:"connections"`
	Processors   float64        `json:"processors"`
	Memory       float64        `json:"memory"` // GiB
	Accelerators int            `json:"accelerators"`
	Leaving      bool           `json:"leaving,omitempty"`
}

// AckKind is what a worker says of its part of an attempt.
type AckKind string

// The kinds of acknowledgement.
const (
	AckHeld         AckKind = "held"         // room is kept, nothing runs
	AckRefused      AckKind = "refused"      // nothing ran and nothing will
	AckStarted      AckKind = "started"      // the tasks run
	AckCheckpointed AckKind = "checkpointed" // progress is saved, the tasks run on
	AckStopped      AckKind = "stopped"      // the tasks ran and have ended early
	AckDone         AckKind = "done"         // the tasks ended well
	AckFailed       AckKind = "failed"       // the tasks ended badly
)

// Ack is one worker's word on one attempt of a job.
type Ack struct {
	Job         string        `json:"job"`
	Attempt     uint32        `json:"attempt"`
	Worker      string        `json:"worker"`
	Incarnation uint64        `json:"incarnation"`
	Kind        AckKind       `json:"kind"`
	Reason      string        `json:"reason,omitempty"`
	Body        []byte        `json:"body,omitempty"`   // the answer, from the first member
	Resume      string        `json:"resume,omitempty"` // where a checkpoint continues
	Progress    time.Duration `json:"progress,omitempty"`
}

// entryFormat is the version of the encoding of log entries.
const entryFormat = 1

type envelope struct {
	Format int             `json:"format"`
	Kind   string          `json:"kind"`
	Time   time.Time       `json:"time"`
	Body   json.RawMessage `json:"body"`
}

// Encode writes an event with its time as a log entry.
func Encode(now time.Time, e Event) ([]byte, error) {
	if q, ok := e.(ChangeQueues); ok {
		return encodeQueues(now, q)
	}
	body, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", e, err)
	}
	return json.Marshal(envelope{Format: entryFormat, Kind: kindOf(e), Time: now, Body: body})
}

func kindOf(e Event) string {
	switch e.(type) {
	case ApplyManifest:
		return "manifest"
	case Announce:
		return "announce"
	case Lost:
		return "lost"
	case Submit:
		return "submit"
	case Cancel:
		return "cancel"
	case Report:
		return "report"
	case ChangeQueues:
		return "queues"
	case Tick:
		return "tick"
	}
	panic(fmt.Sprintf("unknown event %T", e))
}

// Decode reads a log entry.
func Decode(data []byte) (time.Time, Event, error) {
	if len(data) > 0 && data[0] == queuesTag {
		return decodeQueues(data)
	}
	var env envelope
	if err := json.Unmarshal(data, &env); err != nil {
		return time.Time{}, nil, fmt.Errorf("decode entry: %w", err)
	}
	if env.Format != entryFormat {
		return time.Time{}, nil, fmt.Errorf("decode entry: format %d, want %d", env.Format, entryFormat)
	}
	e, err := decodeBody(env.Kind, env.Body)
	if err != nil {
		return time.Time{}, nil, fmt.Errorf("decode entry %q: %w", env.Kind, err)
	}
	return env.Time, e, nil
}

func decodeBody(kind string, body []byte) (Event, error) {
	switch kind {
	case "manifest":
		return decodeAs[ApplyManifest](body)
	case "announce":
		return decodeAs[Announce](body)
	case "lost":
		return decodeAs[Lost](body)
	case "submit":
		return decodeAs[Submit](body)
	case "cancel":
		return decodeAs[Cancel](body)
	case "report":
		return decodeAs[Report](body)
	case "tick":
		return Tick{}, nil
	}
	return nil, fmt.Errorf("unknown kind")
}

// queuesTag starts the entry of a ChangeQueues; no JSON text starts with it.
const queuesTag = 1

// queuesHead is the tag and the time in Unix nanoseconds.
const queuesHead = 1 + 8 // bytes

func encodeQueues(now time.Time, e ChangeQueues) ([]byte, error) {
	data := binary.LittleEndian.AppendUint64([]byte{queuesTag}, uint64(now.UnixNano()))
	data, err := proto.MarshalOptions{}.MarshalAppend(data, e.Change)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", e, err)
	}
	return data, nil
}

func decodeQueues(data []byte) (time.Time, Event, error) {
	if len(data) < queuesHead {
		return time.Time{}, nil, fmt.Errorf("decode entry: %d bytes, want %d at the least", len(data), queuesHead)
	}
	now := time.Unix(0, int64(binary.LittleEndian.Uint64(data[1:]))).UTC()
	change := &messages.QueueChange{}
	if err := proto.Unmarshal(data[queuesHead:], change); err != nil {
		return time.Time{}, nil, fmt.Errorf("decode entry of queues: %w", err)
	}
	return now, ChangeQueues{Change: change}, nil
}

func decodeAs[E Event](body []byte) (Event, error) {
	var e E
	err := json.Unmarshal(body, &e)
	return e, err
}
