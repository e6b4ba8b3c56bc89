package dispatcher_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/converter"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/dispatcher"
)

// TestAcksHaveIncarnationOfTheirOrder guards against an acknowledgement that is lost: a batch begins with the stop of an attempt on
// an earlier incarnation of the worker, and the acknowledgement of an order for the present one was reported for the earlier one.
func TestAcksHaveIncarnationOfTheirOrder(t *testing.T) {
	is := is.New(t)
	const present = 2 // the incarnation of the worker
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		text, err := io.ReadAll(q.Body)
		if err != nil {
			t.Error(err)
		}
		orders := &messages.WorkerOrders{}
		if err := converter.UnmarshalJSON(text, orders); err != nil {
			t.Error(err)
		}
		reply := &messages.WorkerAcks{Acks: []*messages.WorkerAck{converter.EncodeAck(scheduler.Ack{Job: "none", Attempt: 1, Kind: scheduler.AckHeld})}}
		for _, o := range orders.GetOrders() {
			if o.GetIncarnation() == present {
				reply.Acks = append(reply.Acks, converter.EncodeAck(scheduler.Ack{Job: o.GetJob(), Attempt: o.GetAttempt(), Kind: scheduler.AckHeld}))
			}
		}
		text, err = converter.MarshalJSON(reply)
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(text)
	}))
	defer worker.Close()
	reported := make(chan []scheduler.Ack, 1)
	d := dispatcher.New(dispatcher.Options{
		Locate: func(string) (netip.AddrPort, bool) {
			return netip.MustParseAddrPort(strings.TrimPrefix(worker.URL, "http://")), true
		},
		Report: func(_ context.Context, acks []scheduler.Ack) error {
			reported <- acks
			return nil
		},
		Metrics: tally.NoopScope, Log: zap.NewNop(),
	})
	defer d.Stop()
	d.Send(1, []scheduler.Order{
		scheduler.Stop{Part: scheduler.Part{Worker: "w", Incarnation: 1, Job: "a", Attempt: 1}},
		scheduler.Hold{Part: scheduler.Part{Worker: "w", Incarnation: present, Job: "a", Attempt: 2}},
		scheduler.Hold{Part: scheduler.Part{Worker: "w", Incarnation: present, Job: "b", Attempt: 1}},
	})
	select {
	case acks := <-reported:
		is.Equal(acks, []scheduler.Ack{
			{Job: "a", Attempt: 2, Worker: "w", Incarnation: present, Kind: scheduler.AckHeld},
			{Job: "b", Attempt: 1, Worker: "w", Incarnation: present, Kind: scheduler.AckHeld},
		})
	case <-time.After(10 * time.Second):
		t.Fatal("no acknowledgement is reported")
	}
}
