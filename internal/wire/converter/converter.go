// Package converter converts wire messages to scheduler types and back, and validates incoming messages. It
// holds no state.
package converter

import (
	"errors"
	"fmt"
	"hash/crc32"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// MarshalJSON encodes a message of the worker interface.
func MarshalJSON(m proto.Message) ([]byte, error) {
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
}

// UnmarshalJSON decodes a message of the worker interface. Unknown fields are ignored, so that either side may
// run a newer version.
func UnmarshalJSON(data []byte, m proto.Message) error {
	return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, m)
}

// DecodeAnnouncement validates and converts an announcement.
func DecodeAnnouncement(a *messages.Announcement) (scheduler.WorkerInfo, error) {
	var errs []error
	for field, value := range map[string]string{
		"name": a.GetName(), "place": a.GetPlace(), "rack": a.GetRack(), "service": a.GetService(),
	} {
		if !parser.ValidName(value) {
			errs = append(errs, fmt.Errorf("%s is %q, want %s", field, value, parser.WantedName))
		}
	}
	address, err := netip.ParseAddrPort(a.GetAddress())
	if err != nil {
		errs = append(errs, fmt.Errorf("address is %q, want an IP address and a port", a.GetAddress()))
	}
	if a.GetSlots() < 1 || a.GetSlots() > 64 {
		errs = append(errs, fmt.Errorf("slots is %d, want 1 to 64", a.GetSlots()))
	}
	if a.GetIncarnation() == 0 {
		errs = append(errs, errors.New("incarnation is missing, want a number that increases with each start"))
	}
	return scheduler.WorkerInfo{
		Name: a.GetName(), Place: a.GetPlace(), Rack: a.GetRack(), Service: a.GetService(),
		Address: address, Incarnation: a.GetIncarnation(), Slots: int(a.GetSlots()),
		Connections: int(a.GetConnections()), Processors: a.GetProcessors(), Memory: a.GetMemory(),
		Accelerators: int(a.GetAccelerators()), Leaving: a.GetLeaving(),
	}, errors.Join(errs...)
}

// DecodeAcks validates and converts the acknowledgements of a worker. A body that does not match its checksum was
// truncated or corrupted in transit and is an error.
func DecodeAcks(worker string, incarnation uint64, list []*messages.WorkerAck) ([]scheduler.Ack, error) {
	var acks []scheduler.Ack
	for _, m := range list {
		if crc32.Checksum(m.GetBody(), castagnoli) != m.GetChecksum() {
			return nil, fmt.Errorf("body of %s attempt %d does not match its checksum", m.GetJob(), m.GetAttempt())
		}
		kind := scheduler.AckKind(m.GetKind())
		switch kind {
		case scheduler.AckHeld, scheduler.AckRefused, scheduler.AckStarted, scheduler.AckCheckpointed,
			scheduler.AckStopped, scheduler.AckDone, scheduler.AckFailed:
		default:
			return nil, fmt.Errorf("kind %q of %s attempt %d is unknown", m.GetKind(), m.GetJob(), m.GetAttempt())
		}
		acks = append(acks, scheduler.Ack{
			Job: m.GetJob(), Attempt: m.GetAttempt(), Worker: worker, Incarnation: incarnation, Kind: kind,
			Reason: m.GetReason(), Body: m.GetBody(), Resume: m.GetResume(),
			Progress: time.Duration(m.GetProgress()) * time.Millisecond,
		})
	}
	return acks, nil
}

// EncodeAck converts an acknowledgement and adds the checksum of its body.
func EncodeAck(a scheduler.Ack) *messages.WorkerAck {
	return &messages.WorkerAck{
		Job: a.Job, Attempt: a.Attempt, Kind: string(a.Kind), Reason: a.Reason, Body: a.Body,
		Checksum: crc32.Checksum(a.Body, castagnoli), Resume: a.Resume, Progress: a.Progress.Milliseconds(),
	}
}

// EncodeOrder converts an order and returns the worker that it is for. ok is false for orders that are not addressed
// to workers.
func EncodeOrder(o scheduler.Order) (worker string, m *messages.WorkerOrder, ok bool) {
	switch o := o.(type) {
	case scheduler.Hold:
		return o.Worker, newOrder("hold", o.Part), true
	case scheduler.Start:
		m := newOrder("start", o.Part)
		m.Single = o.Single
		return o.Worker, m, true
	case scheduler.Release:
		return o.Worker, newOrder("release", o.Part), true
	case scheduler.Checkpoint:
		return o.Worker, newOrder("checkpoint", o.Part), true
	case scheduler.Stop:
		return o.Worker, newOrder("stop", o.Part), true
	case scheduler.Reply, scheduler.Answered, scheduler.Installed, scheduler.Record:
	}
	return "", nil, false
}

func newOrder(kind string, p scheduler.Part) *messages.WorkerOrder {
	m := &messages.WorkerOrder{
		Kind: kind, Job: p.Job, Attempt: p.Attempt, Incarnation: p.Incarnation, Rank: int32(p.Rank),
		Members: int32(p.Members), Tasks: int32(p.Tasks), Slots: int32(p.Slots), Service: p.Service,
	}
	if kind == "start" {
		m.Runtime = p.Runtime.Milliseconds()
		m.Body = p.Body
		m.Resume = p.Resume
	}
	return m
}
