package main

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRestartsAreLogged guards against processes that end by themselves without a trace: the leader logs whether a daemon had
// said that it stops.
func TestRestartsAreLogged(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 1)
	entry := startEntry(t, g, testAddress(100))
	leader := g.leader()
	waitFor := func(line string) {
		t.Helper()
		count := func() int {
			leader.mu.Lock()
			defer leader.mu.Unlock()
			n := 0
			for text := range strings.Lines(leader.log.String()) {
				if strings.Contains(text, `"msg":"`+line+`"`) && strings.Contains(text, `"name":"`+entry.control.Addr().String()+`"`) {
					n++
				}
			}
			return n
		}
		for deadline := time.Now().Add(10 * time.Second); count() == 0; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("no line %q", line)
			}
		}
		is.Equal(count(), 1)
	}
	waitFor("daemon is in contact")
	entry.kill()
	entry.run()
	waitFor("daemon restarted without a drain")
	entry.stop()
	entry.run()
	waitFor("daemon restarted")
	entry.kill()
	waitFor("daemon is lost")
}
