package runner_test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/console/client"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/executor"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

// TestEvacuationOutlivesDaemons guards against an acknowledged order that is forgotten when all daemons are killed, and against
// places that are refused although a worker names them, or accepted although nothing does.
func TestEvacuationOutlivesDaemons(t *testing.T) {
	p := startProcesses(t, 3, 4)
	p.leader()
	p.apply(1, 8)
	w, err := executor.New(executor.Options{
		Announcement: &messages.Announcement{
			Name: "far", Place: "island", Rack: "r", Service: "s", Incarnation: 1, Slots: 8, Connections: 64, Processors: 8, Memory: 8, Accelerators: 8,
		},
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Entries: p.entries, Timing: registrar.DefaultTiming(), Log: zap.NewNop(),
	})
	p.noError(err)
	p.workers = append(p.workers, w)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	cl := client.New(p.entries[3:], operatorToken) // without a replica
	defer cl.Close()
	p.eventually(10*time.Second, "the order for the place of the worker", func(ctx context.Context) bool {
		_, err := cl.Evacuate(ctx, "island", false)
		return err == nil
	})
	for _, place := range []string{"p1", "p2"} {
		_, err = cl.Evacuate(ctx, place, false)
		p.noError(err)
	}
	_, err = cl.Evacuate(ctx, "p2", true)
	p.noError(err)
	_, err = cl.Evacuate(ctx, "atlantis", false)
	var problem *client.Problem
	if !errors.As(err, &problem) || problem.Status != http.StatusNotFound {
		t.Fatalf("order for an unknown place: %v", err)
	}
	for i := range p.commands {
		p.signalAndWait(i, os.Kill)
	}
	for i := range p.commands {
		p.start(i)
	}
	var list []struct{ Place, Age, By string }
	p.noError(cl.Get(ctx, "/v1/evacuations", &list))
	if len(list) != 2 || list[0].Place != "island" || list[1].Place != "p1" || list[0].By != "operator" {
		t.Fatalf("evacuations after the restart: %+v", list)
	}
	var workers []struct{ Name, State string }
	p.noError(cl.Get(ctx, "/v1/workers", &workers))
	if len(workers) != 1 || workers[0].State != "evacuated" {
		t.Fatalf("workers after the restart: %+v", workers)
	}
}
