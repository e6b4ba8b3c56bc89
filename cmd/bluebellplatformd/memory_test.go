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
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	memoryMB   = 284 // as on the platform's machines
	bodiesTime = 60 * time.Second
)

// buildCommand builds the command without the race detector, which takes a multiple of the memory.
func buildCommand(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "command")
	output, err := exec.Command("go", "build", "-race=false", "-o", path, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return path
}

// limitMemory restarts the process, on a binary of buildCommand, with a limit of its memory in the settings.
func (k *keeper) limitMemory(binary string) {
	is := is.New(k.t)
	k.kill()
	k.binary = binary
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

// bodies are calls with large bodies.
type bodies struct {
	name             string
	count, bytes     int
	start, fill, end string
}

// bodiesOf returns calls with bodies that end as given, and begin with a text or with a list of objects.
func bodiesOf(text, list, end string) []bodies {
	return []bodies{
		{"texts", 40, 15 << 20, text, "x", `"` + end},
		{"objects", 1, 15 << 20, list, "{},", "{}]" + end},
		{"many with objects", 200, 150 << 10, list, "{},", "{}]" + end},
	}
}

// send sends the calls at one time, each but the end of its body, then the rest, and returns how often each status was
// answered, 0 without an answer.
func (b *bodies) send(k *keeper, path string) map[int]int {
	var mu sync.Mutex
	answers := map[int]int{}
	complete := make(chan struct{})
	var sent, answered sync.WaitGroup
	sent.Add(b.count)
	for range b.count {
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
			_, _ = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", path, k.control, b.bytes, b.start)
			fill := bytes.Repeat([]byte(b.fill), b.bytes/len(b.fill))
			_, _ = connection.Write(fill[:b.bytes-len(b.start)-len(b.end)]) // a failure shows in the response
			sent.Done()
			<-complete
			_, _ = io.WriteString(connection, b.end)
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
	return answers
}

// TestLargeBodies guards against a process that is killed for its memory: each call could hold a body of 16 MiB, on any number of
// connections, and decoded it could take hundreds of times that.
func TestLargeBodies(t *testing.T) {
	binary := buildCommand(t)
	for _, b := range bodiesOf(`{"task_spec":"`, `{"task_spec":"x","step_specs":[`, "}") {
		t.Run("entry, "+b.name, func(t *testing.T) {
			is := is.New(t)
			g := startGroup(t, 1)
			entry := startEntry(t, g, testAddress(100))
			entry.limitMemory(binary)
			g.routes = `{"name":"q","host":"` + entry.control.String() + `","path_prefix":"/q/","type":"non_idempotent","timeout_ms":3000,` +
				`"service":"s","max_attempts":3,"stretch":3,"public":true}`
			is.True(g.change(30*time.Second) < 30*time.Second)
			c := newCallers(t, entry)
			c.during(func() { checkLargeBodies(t, entry, &b, "/q/0123456789abcdef") })
			c.check()
		})
	}
	for _, b := range bodiesOf(`{"version":9,"services":[{"name":"`, `{"version":9,"routes":[`, "}") {
		t.Run("keeper, "+b.name, func(t *testing.T) {
			is := is.New(t)
			g := startGroup(t, 1)
			k := g.keepers[0]
			k.limitMemory(binary)
			is.True(g.change(30*time.Second) < 30*time.Second)
			checkLargeBodies(t, k, &b, "/v1/configuration/replace")
			is.True(g.change(30*time.Second) < 30*time.Second)
		})
	}
}

func checkLargeBodies(t *testing.T, k *keeper, b *bodies, path string) {
	t.Helper()
	is := is.New(t)
	answers := b.send(k, path)
	peak := k.peakMemory()
	t.Logf("answers %v, peak %d MiB", answers, peak)
	is.Equal(answers[0], 0)
	is.True(peak < memoryMB)
}

// TestSilentBodies guards against large bodies that are refused without end because a client with one has gone silent.
func TestSilentBodies(t *testing.T) {
	is := is.New(t)
	binary := buildCommand(t)
	g := startGroup(t, 1)
	k := g.keepers[0]
	k.limitMemory(binary)
	is.True(g.change(30*time.Second) < 30*time.Second)
	const path = "/v1/configuration/replace"
	silent, err := net.Dial("tcp", k.control.String())
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	_, err = fmt.Fprintf(silent, "POST %s HTTP/1.1\r\nHost: k\r\nContent-Length: %d\r\n\r\n%s", path, 15<<20, bytes.Repeat([]byte("x"), 14<<20))
	is.NoErr(err)
	start := time.Now()
	list := bodiesOf(`{"version":9,"services":[{"name":"`, "", "}")
	one := list[0]
	one.count = 1
	for answers := (map[int]int{}); answers[http.StatusBadRequest] == 0; time.Sleep(100 * time.Millisecond) {
		answers = one.send(k, path)
		if time.Since(start) > 20*time.Second {
			t.Fatalf("answers %v", answers)
		}
	}
	is.NoErr(silent.SetReadDeadline(time.Now().Add(time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(silent), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusRequestTimeout)
}

// TestLargeAnswers guards against a process that is killed for its memory: each call for the configuration held copies of it, on any
// number of connections, and on the leader too.
func TestLargeAnswers(t *testing.T) {
	const (
		count     = 100
		nameBytes = 3 << 20
	)
	is := is.New(t)
	binary := buildCommand(t)
	g := startGroup(t, 3)
	for _, k := range g.keepers {
		k.limitMemory(binary)
	}
	is.True(g.change(30*time.Second) < 30*time.Second)
	body := fmt.Sprintf(`{"version":9,"services":[{"name":"%s"}],"routes":[],"tenants":[]}`, strings.Repeat("x", nameBytes))
	response, err := http.Post("http://"+g.leader().control.String()+"/v1/configuration/replace", "application/json", strings.NewReader(body))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusOK)
	for _, k := range g.keepers {
		answers := map[int]int{}
		fetch := func() int {
			response, err := http.Get("http://" + k.control.String() + "/v1/configuration/get")
			if err != nil {
				return 0
			}
			n, err := io.Copy(io.Discard, response.Body)
			_ = response.Body.Close() // read to its end, or failed
			if err != nil || response.StatusCode == http.StatusOK && n < nameBytes {
				return 0
			}
			return response.StatusCode
		}
		is.Equal(fetch(), http.StatusOK)
		var mu sync.Mutex
		var wait sync.WaitGroup
		for range count {
			wait.Go(func() {
				status := fetch()
				mu.Lock()
				defer mu.Unlock()
				answers[status]++
			})
		}
		wait.Wait()
		t.Logf("answers %v", answers)
		is.Equal(answers[0], 0)
		is.True(answers[http.StatusOK] > 0)
	}
	for _, k := range g.keepers {
		peak := k.peakMemory()
		t.Logf("peak %d MiB", peak)
		is.True(peak < memoryMB)
	}
}
