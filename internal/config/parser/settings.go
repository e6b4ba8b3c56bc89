package parser

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Settings are the settings that one daemon reads when it starts.
type Settings struct {
	Name     string   `json:"name"`
	Place    string   `json:"place"`
	Listen   string   `json:"listen"`  // address for callers, operators and workers
	Peering  string   `json:"peering"` // address for other daemons
	Keepers  []Peer   `json:"keepers"` // all initial replicas of the log, the same list on every daemon
	Data     string   `json:"data,omitempty"`
	Late     bool     `json:"late,omitempty"`    // joins an existing fleet: with empty data, waits until a leader adds it
	Operator string   `json:"operator"`          // file with the operator token
	Secret   string   `json:"secret"`            // file with the secret shared by the daemons
	Metrics  string   `json:"metrics,omitempty"` // separate address that serves only the metrics page
	Drain    Duration `json:"drain,omitempty"`   // time limit of a graceful shutdown
	Level    string   `json:"level,omitempty"`   // debug, info, warn or error
	Format   string   `json:"format,omitempty"`  // json or console
	TLS      *TLS     `json:"tls,omitempty"`     // for callers, operators and workers
	Mutual   *TLS     `json:"mutual,omitempty"`  // between daemons, with client certificates
}

// Peer is a replica of the log and the address at which other daemons reach it.
type Peer struct {
	Name    string `json:"name"`
	Place   string `json:"place"`
	Address string `json:"address"`
}

// TLS names certificate files. They are reloaded when they change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority,omitempty"` // required between daemons
}

const (
	defaultDrain = Duration(30 * time.Second)
	maxDrain     = Duration(time.Hour)
	maxKeepers   = 7
)

// ParseSettings decodes and validates the settings of a daemon.
func ParseSettings(file string, text []byte) (*Settings, error) {
	s := &Settings{Drain: defaultDrain, Level: "info", Format: "json"}
	if err := decode(file, text, s); err != nil {
		return nil, err
	}
	c := &checker{file: file, text: text}
	s.check(c)
	return s, c.result()
}

func (s *Settings) check(c *checker) {
	c.requireName(s.Name, "name")
	c.requireName(s.Place, "place")
	requireAddress(c, "listen", s.Listen)
	requireAddress(c, "peering", s.Peering)
	if s.Metrics != "" {
		requireAddress(c, "metrics", s.Metrics)
	}
	c.require(s.Operator != "", "operator", "is missing, want a file with the operators' token")
	c.require(s.Secret != "", "secret", "is missing, want a file with the daemons' secret")
	c.require(s.Drain > 0 && s.Drain <= maxDrain, "drain", "is %s, want up to %s", s.Drain.Std(), maxDrain.Std())
	requireOneOf(c, "level", s.Level, "debug", "info", "warn", "error")
	requireOneOf(c, "format", s.Format, "json", "console")
	n := len(s.Keepers)
	c.require(n > 0 && n <= maxKeepers && n%2 == 1, "keepers", "has %d entries, want 1, 3, 5 or 7", n)
	names := map[string]bool{}
	for i, p := range s.Keepers {
		prefix := fmt.Sprintf("keepers[%d].", i)
		c.requireName(p.Name, prefix+"name")
		c.require(!names[p.Name], prefix+"name", "%q is declared twice", p.Name)
		names[p.Name] = true
		requireAddress(c, prefix+"address", p.Address)
	}
	c.require(!names[s.Name] || s.Data != "", "data", "is missing, but %q is one of the keepers", s.Name)
	s.TLS.check(c, "tls.", false)
	s.Mutual.check(c, "mutual.", true)
}

func (t *TLS) check(c *checker, prefix string, authority bool) {
	if t == nil {
		return
	}
	c.require(t.Certificate != "", prefix+"certificate", "is missing")
	c.require(t.Key != "", prefix+"key", "is missing")
	c.require(!authority || t.Authority != "", prefix+"authority", "is missing")
}

func requireAddress(c *checker, field, value string) {
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil, field, "is %q, want an IP address and a port such as 127.0.0.1:7001", value)
}

func requireOneOf(c *checker, field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.require(false, field, "is %q, want %s", value, strings.Join(allowed, ", "))
}

// ListenAddr returns the address for callers, operators and workers.
func (s *Settings) ListenAddr() netip.AddrPort { return netip.MustParseAddrPort(s.Listen) }

// PeeringAddr returns the address for other daemons.
func (s *Settings) PeeringAddr() netip.AddrPort { return netip.MustParseAddrPort(s.Peering) }

// AddrPort returns the address of the peer.
func (p Peer) AddrPort() netip.AddrPort { return netip.MustParseAddrPort(p.Address) }
