package main

import (
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

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
