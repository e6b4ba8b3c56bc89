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
