package registrar

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestContactLines checks that the leader logs each change of a daemon's contact once, and tells a process that ended without
// a drain from one that was stopped. Nothing told of a process that ended by itself before.
func TestContactLines(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	now := time.Unix(1_000_000, 0)
	m := NewMonitor(DefaultTiming(), now, zap.New(core))
	beat := func(name string, started int64, draining bool) {
		for range 2 {
			now = now.Add(300 * time.Millisecond)
			m.Heartbeat(now, &messages.Beat{Daemon: name, Started: started, Draining: draining})
			m.Roster(now)
		}
	}
	last := func() string {
		list := lines.TakeAll()
		if len(list) != 1 {
			return ""
		}
		return list[0].Message
	}
	beat("vm1", 1, false)
	is.Equal(last(), "daemon is in contact")
	beat("vm1", 2, false)
	is.Equal(last(), "daemon restarted without a drain")
	beat("vm1", 2, true)
	is.Equal(last(), "")
	beat("vm1", 3, false)
	is.Equal(last(), "daemon restarted")
	beat("vm2", 1, false)
	is.Equal(last(), "daemon is in contact")
	now = now.Add(daemonTimeout)
	beat("vm2", 1, false)
	is.Equal(last(), "daemon is lost")
	beat("vm1", 3, false)
	is.Equal(last(), "daemon is back in contact")
}
