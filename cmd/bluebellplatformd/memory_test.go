package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	memoryMB   = 284 // as on the platform's machines
	bodyCount  = 40
	bodyBytes  = 15 << 20 // of each of them
	bodiesTime = 60 * time.Second
)

// limitMemory restarts the process with a limit of its memory in the settings.
func (k *keeper) limitMemory() {
	is := is.New(k.t)
	k.kill()
	k.resetLog()
	text, err := os.ReadFile(k.settingsPath())
	is.NoErr(err)
	settings := map[string]any{}
	is.NoErr(json.Unmarshal(text, &settings))
	settings["limits"] = map[string]any{"memory_mb": memoryMB}
	text, err = json.Marshal(settings)
	is.NoErr(err)
	is.NoErr(os.WriteFile(k.settingsPath(), text, 0o600))
	k.run()
}

// peakMemory returns the most memory that the process has used, in MiB.
func (k *keeper) peakMemory() int {
	is := is.New(k.t)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", k.command.Process.Pid))
	is.NoErr(err)
	_, after, found := strings.Cut(string(text), "VmHWM:")
	is.True(found)
	kib, err := strconv.Atoi(strings.Fields(after)[0])
	is.NoErr(err)
	return kib >> 10
}

// sendLargeBodies sends calls with large bodies at one time, each but its last byte, then the rest, and returns how often each
// status was answered, 0 without an answer.
func (k *keeper) sendLargeBodies(path, start, end string) map[int]int {
	is := is.New(k.t)
	var mu sync.Mutex
	answers := map[int]int{}
	complete := make(chan struct{})
	var sent, answered sync.WaitGroup
	sent.Add(bodyCount)
	for range bodyCount {
		answered.Go(func() {
			status := 0
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				answers[status]++
			}()
			connection, err := net.Dial("tcp", k.control.String())
			if err != nil {
				sent.Done()
				return
			}
			defer func() { _ = connection.Close() }()
			_ = connection.SetDeadline(time.Now().Add(bodiesTime)) // fails only on a closed connection
			_, _ = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", path, k.control, bodyBytes, start)
			_, _ = connection.Write(bytes.Repeat([]byte("x"), bodyBytes-len(start)-len(end))) // a failure shows in the response
			sent.Done()
			<-complete
			_, _ = io.WriteString(connection, end)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil {
				return
			}
			_ = response.Body.Close() // nothing is read from it
			status = response.StatusCode
		})
	}
	sent.Wait()
	close(complete)
	answered.Wait()
	is.Equal(k.command.ProcessState, nil) // it runs
	return answers
}

// TestLargeBodies guards against a process that is killed for its memory: each call could hold a body of 16 MiB, on any number of
// connections.
func TestLargeBodies(t *testing.T) {
	t.Run("entry", func(t *testing.T) {
		is := is.New(t)
		g := startGroup(t, 1)
		entry := startEntry(t, g, testAddress(100))
		entry.limitMemory()
		g.routes = `{"name":"q","host":"` + entry.control.String() + `","path_prefix":"/q/","type":"non_idempotent","timeout_ms":3000,` +
			`"service":"s","max_attempts":3,"stretch":3,"public":true}`
		is.True(g.change(30*time.Second) < 30*time.Second)
		c := newCallers(t, entry)
		c.during(func() {
			answers := entry.sendLargeBodies("/q/0123456789abcdef", `{"task_spec":"`, `","step_specs":[]}`)
			t.Logf("answers %v, peak %d MiB", answers, entry.peakMemory())
			is.Equal(answers[0], 0)
		})
		c.check()
		is.True(entry.peakMemory() < memoryMB)
	})
	t.Run("keeper", func(t *testing.T) {
		is := is.New(t)
		g := startGroup(t, 1)
		k := g.keepers[0]
		k.limitMemory()
		is.True(g.change(30*time.Second) < 30*time.Second)
		answers := k.sendLargeBodies("/v1/configuration/replace", `{"version":9,"services":[{"name":"`, `"}],"routes":[],"tenants":[]}`)
		t.Logf("answers %v, peak %d MiB", answers, k.peakMemory())
		is.Equal(answers[0], 0)
		is.True(g.change(30*time.Second) < 30*time.Second)
		is.True(k.peakMemory() < memoryMB)
	})
}
