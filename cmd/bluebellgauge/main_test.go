package main

import (
	"context"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellgauge/bluebellgauge/internal/console/client"
	"github.com/bluebellgauge/bluebellgauge/internal/console/demonstrator"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/coordinator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"bluebellgauge": main})
}

// TestScripts runs the command-line client against a fleet of daemons and workers in the test process.
func TestScripts(t *testing.T) {
	fleet, err := demonstrator.Start(demonstrator.Users()[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Stop) // after the scripts, which run in parallel
	waitForDaemons(t, fleet.Entries())
	startExplainedQueue(t, fleet)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: filepath.Join("testdata", "script"),
		Setup: func(env *testscript.Env) error {
			env.Setenv("ENTRY", fleet.Entries()[4].String())
			env.Setenv("OTHER", fleet.Entries()[0].String())
			env.Setenv("CLOSED", closed.Addr().String())
			for name, token := range map[string]string{
				"operator": "operator", "temples": demonstrator.Token("temples"), "tourism": demonstrator.Token("tourism"),
			} {
				if err := os.WriteFile(filepath.Join(env.WorkDir, name), []byte(token), 0o600); err != nil {
					return err
				}
			}
			env.Setenv("TOKEN", demonstrator.Token("temples"))
			return nil
		},
	})
}

// startExplainedQueue installs a queue with one worker and one job that waits for more than the worker has, for the script about
// explanations.
func startExplainedQueue(t *testing.T, fleet *demonstrator.Fleet) {
	t.Helper()
	queues := fleet.Queues()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	catalog := &messages.Catalog{
		Version: 1, Pools: []*messages.Pool{{Name: "explained"}},
		Queues:        []*messages.Queue{{Name: "explained", Host: "h", Prefix: "/explained/", Pool: "explained", Attempts: 2, Priority: 1}},
		Organisations: []*messages.Organisation{{Name: "tourism", Keys: []string{"k"}}},
	}
	if _, err := queues.Install(ctx, catalog); err != nil {
		t.Fatal(err)
	}
	report := func(sequence uint64) error {
		_, err := queues.Report(ctx, &messages.FleetReport{
			Worker: "explained-worker", Born: 1, Sequence: sequence, Pool: "explained", Place: "kandy", Rack: "r1", Processors: 4000, Memory: 4096,
		})
		return err
	}
	if err := report(1); err != nil {
		t.Fatal(err)
	}
	work := &messages.Work{Steps: []*messages.Step{{Count: 1, Label: "none", Processors: 1000, Estimate: 1000}}}
	v, err := queues.Submit(ctx, &messages.Submission{Host: "h", Path: "/explained/waits", Key: "k", Work: work})
	if err != nil || v.GetStatus() != coordinator.StatusOK {
		t.Fatalf("%v %v", v, err)
	}
	go func() {
		for sequence := uint64(2); ctx.Err() == nil; sequence++ {
			// A lost report is made up for by the next one.
			_ = report(sequence)
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// waitForDaemons waits until the leader has received a heartbeat from every daemon. Before that, a rollout does
// not list all of them.
func waitForDaemons(t *testing.T, entries []netip.AddrPort) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	cl := client.New(entries, "operator")
	defer cl.Close()
	for {
		var list []struct{}
		if err := cl.Get(ctx, "/v1/rollout", &list); err != nil {
			t.Fatal(err)
		}
		if len(list) == len(entries) {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("rollout lists %d of %d daemons", len(list), len(entries))
		case <-time.After(10 * time.Millisecond):
		}
	}
}
