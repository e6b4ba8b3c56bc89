package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	ackTime      = 5 * time.Second // within which a change of the configuration must be acknowledged
	responseTime = time.Second     // after which an operator calls another keeper
)

// group is the keepers of a system.
type group struct {
	t       *testing.T
	keepers []*keeper
	version int    // of the last configuration that was sent
	routes  string // of the configurations, as JSON
}

func startGroup(t *testing.T, size int) *group {
	t.Helper()
	g := &group{t: t}
	var addresses []netip.Addr
	for i := range size {
		addresses = append(addresses, testAddress(byte(i+1)))
	}
	for i := range size {
		k := startKeeperOf(t, addresses, i, "none")
		g.keepers = append(g.keepers, k)
	}
	return g
}

// change sends the next configuration to one keeper after the other until one acknowledges it, and returns how long that
// took. It gives up after a time.
func (g *group) change(limit time.Duration) time.Duration {
	g.version++
	body := fmt.Appendf(nil, `{"version":%d,"services":[{"name":"s"}],"routes":[%s],"tenants":[]}`, g.version, g.routes)
	client := &http.Client{Timeout: responseTime}
	start := time.Now()
	for n := g.version; time.Since(start) < limit; n++ {
		k := g.keepers[n%len(g.keepers)]
		response, err := client.Post("http://"+k.control.String()+"/v1/configuration/replace", "application/json", bytes.NewReader(body))
		if err != nil {
			continue // it is down, or too slow
		}
		_ = response.Body.Close() // nothing is read from it
		if response.StatusCode == http.StatusOK {
			return time.Since(start)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return limit
}

// TestDisksFullInTurn guards against changes that stay unanswered although all disks have room again: the disks of the
// keepers are full for a moment each, one directly after the other, while configurations are sent.
func TestDisksFullInTurn(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 3)
	is.True(g.change(30*time.Second) < 30*time.Second)
	for round := range 6 {
		k := g.keepers[round%len(g.keepers)]
		k.fill("")
		for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
			g.change(ackTime)
		}
		is.NoErr(os.Remove(k.fullPath()))
	}
	for range 10 {
		is.True(g.change(ackTime) < ackTime)
	}
	for _, k := range g.keepers {
		k.stop()
	}
}
