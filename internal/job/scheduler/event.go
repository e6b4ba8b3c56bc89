package scheduler

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Event is an input of the scheduler. Events reach it through the replicated log.
type Event interface{ event() }

// ApplyManifest requests that a manifest is put in force.
type ApplyManifest struct {
	Text []byte `json:"text"`
}

// Announce registers a worker that is new, has restarted or is leaving.
type Announce struct {
	Worker WorkerInfo `json:"worker"`
}

// WorkerLost reports that all leases of a worker have expired without contact.
type WorkerLost struct {
	Worker      string `json:"worker"`
	Incarnation uint64 `json:"incarnation"`
}

// Submit requests that a job is run.
type Submit struct {
	Org string     `json:"org"`
	Key string     `json:"key"`
	Job parser.Job `json:"job"`
}

// Cancel requests that jobs of one organisation are cancelled.
type Cancel struct {
	Org  string   `json:"org"`
	Keys []string `json:"keys"`
}

// Report carries acknowledgements of workers.
type Report struct {
	Acks []Ack `json:"acks"`
}

// ChangeQueues carries a change of the queue state that the leader decided on. It has an encoding of its own,
// as it is by far the most frequent event.
type ChangeQueues struct{ Change *messages.QueueChange }

// PruneHealth removes health records that are no longer needed.
type PruneHealth struct{}

// Tick advances the time, so that due deadlines are handled.
type Tick struct{}

func (ApplyManifest) event() {}
func (Announce) event()      {}
func (WorkerLost) event()    {}
func (Submit) event()        {}
func (Cancel) event()        {}
func (Report) event()        {}
func (ChangeQueues) event()  {}
func (PruneHealth) event()   {}
func (Tick) event()          {}

// WorkerInfo describes a worker, as announced by it.
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

// AckKind is the state of a worker's part of an attempt, as reported by the worker.
type AckKind string

// The kinds of acknowledgement.
const (
	AckHeld         AckKind = "held"         // slots are held, nothing is running
	AckRefused      AckKind = "refused"      // nothing has run or will run
	AckStarted      AckKind = "started"      // the tasks are running
	AckCheckpointed AckKind = "checkpointed" // progress is saved, the tasks are still running
	AckStopped      AckKind = "stopped"      // the tasks ran and were stopped
	AckDone         AckKind = "done"         // the tasks succeeded
	AckFailed       AckKind = "failed"       // the tasks failed
)

// Ack is a worker's acknowledgement of an order for one attempt of a job.
type Ack struct {
	Job         string        `json:"job"`
	Attempt     uint32        `json:"attempt"`
	Worker      string        `json:"worker"`
	Incarnation uint64        `json:"incarnation"`
	Kind        AckKind       `json:"kind"`
	Reason      string        `json:"reason,omitempty"`
	Body        []byte        `json:"body,omitempty"`   // result, from the member of rank 0
	Resume      string        `json:"resume,omitempty"` // checkpoint from which to resume
	Progress    time.Duration `json:"progress,omitempty"`
}

// Versions of the log entry encoding. Builds that know only the first one would ignore the evacuations in a queue entry of its
// own encoding, and start runs that inherit their checkpoints without them, so an entry with either has the second one, which
// they refuse. PruneHealth has the third one.
const (
	entryFormat         = 1
	extendedEntryFormat = 2
	healthEntryFormat   = 3
)

// EntryFormat is the latest version of the log entry encoding that this build applies.
const EntryFormat = healthEntryFormat

// QueueEntryFormat is the latest version that an entry with a ChangeQueues has.
const QueueEntryFormat = extendedEntryFormat

// isExtended reports whether builds that know only entryFormat would misread a change.
func isExtended(c *messages.QueueChange) bool {
	return len(c.GetEvacuations()) > 0 || slices.ContainsFunc(c.GetStarts(), (*messages.Run).GetInherits)
}

type envelope struct {
	Format int             `json:"format"`
	Kind   string          `json:"kind"`
	Time   time.Time       `json:"time"`
	Body   json.RawMessage `json:"body"`
}

// Encode encodes an event and its time as a log entry.
func Encode(now time.Time, e Event) ([]byte, error) {
	if q, ok := e.(ChangeQueues); ok {
		if !isExtended(q.Change) {
			return encodeQueues(now, q)
		}
		data, err := proto.Marshal(q.Change)
		if err != nil {
			return nil, fmt.Errorf("encode %T: %w", e, err)
		}
		return encodeEnvelope(extendedEntryFormat, now, e, data)
	}
	if _, ok := e.(PruneHealth); ok {
		return encodeEnvelope(healthEntryFormat, now, e, e)
	}
	return encodeEnvelope(entryFormat, now, e, e)
}

func encodeEnvelope(format int, now time.Time, e Event, body any) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", e, err)
	}
	return json.Marshal(envelope{Format: format, Kind: kindOf(e), Time: now, Body: data})
}

func kindOf(e Event) string {
	switch e.(type) {
	case ApplyManifest:
		return "manifest"
	case Announce:
		return "announce"
	case WorkerLost:
		return "lost"
	case Submit:
		return "submit"
	case Cancel:
		return "cancel"
	case Report:
		return "report"
	case ChangeQueues:
		return "queues"
	case PruneHealth:
		return "health"
	case Tick:
		return "tick"
	}
	panic(fmt.Sprintf("unknown event %T", e))
}

// Decode decodes a log entry.
func Decode(data []byte) (time.Time, Event, error) {
	if len(data) > 0 && data[0] == queueEntryTag {
		return decodeQueues(data)
	}
	var env envelope
	if err := json.Unmarshal(data, &env); err != nil {
		return time.Time{}, nil, fmt.Errorf("decode entry: %w", err)
	}
	decode := decodeBody
	switch env.Format {
	case entryFormat:
	case extendedEntryFormat:
		decode = decodeExtended
	case healthEntryFormat:
		decode = decodeHealth
	default:
		return time.Time{}, nil, fmt.Errorf("decode entry: format %d, want at most %d", env.Format, EntryFormat)
	}
	e, err := decode(env.Kind, env.Body)
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
		return decodeAs[WorkerLost](body)
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

// decodeExtended decodes the body of an entry of extendedEntryFormat.
func decodeExtended(kind string, body []byte) (Event, error) {
	if kind != kindOf(ChangeQueues{}) {
		return nil, fmt.Errorf("unknown kind")
	}
	var data []byte
	if err := json.Unmarshal(body, &data); err != nil {
		return nil, err
	}
	change := &messages.QueueChange{}
	if err := proto.Unmarshal(data, change); err != nil {
		return nil, err
	}
	return ChangeQueues{Change: change}, nil
}

// decodeHealth decodes the body of an entry of healthEntryFormat.
func decodeHealth(kind string, body []byte) (Event, error) {
	if kind != kindOf(PruneHealth{}) {
		return nil, fmt.Errorf("unknown kind")
	}
	return decodeAs[PruneHealth](body)
}

// queueEntryTag is the first byte of a ChangeQueues entry. No JSON text starts with it.
const queueEntryTag = 1

// queueEntryHeaderSize is the size of the tag and the time in Unix nanoseconds.
const queueEntryHeaderSize = 1 + 8 // bytes

func encodeQueues(now time.Time, e ChangeQueues) ([]byte, error) {
	data := binary.LittleEndian.AppendUint64([]byte{queueEntryTag}, uint64(now.UnixNano()))
	data, err := proto.MarshalOptions{}.MarshalAppend(data, e.Change)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", e, err)
	}
	return data, nil
}

func decodeQueues(data []byte) (time.Time, Event, error) {
	if len(data) < queueEntryHeaderSize {
		return time.Time{}, nil, fmt.Errorf("decode entry: %d bytes, want at least %d", len(data), queueEntryHeaderSize)
	}
	now := time.Unix(0, int64(binary.LittleEndian.Uint64(data[1:]))).UTC()
	change := &messages.QueueChange{}
	if err := proto.Unmarshal(data[queueEntryHeaderSize:], change); err != nil {
		return time.Time{}, nil, fmt.Errorf("decode queue entry: %w", err)
	}
	return now, ChangeQueues{Change: change}, nil
}

func decodeAs[E Event](body []byte) (Event, error) {
	var e E
	err := json.Unmarshal(body, &e)
	return e, err
}
