// Package provider holds a daemon's copy of the manifest in force and reports whether the copy is fresh enough
// to base decisions on. It holds no other logic.
package provider

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sync/atomic"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
)

// MaxStaleness is how long a daemon may use its copy after the last contact with a leader. It is shorter than the
// time within which a change must be in force everywhere.
const MaxStaleness = 5 * time.Second

// Provider holds the copy of one daemon.
type Provider struct {
	isFresh func(bound time.Duration) bool
	current atomic.Pointer[parser.Manifest]
}

// New returns a provider without a copy. isFresh reports whether the last contact with a leader is within bound.
func New(isFresh func(bound time.Duration) bool) *Provider {
	return &Provider{isFresh: isFresh}
}

// Install replaces the copy if the manifest has a later version, and returns the version in force afterwards.
// An earlier or equal version is ignored, so the version never decreases.
func (p *Provider) Install(text []byte) (version uint64, err error) {
	m, err := parser.ParseManifest("manifest", text)
	if err != nil {
		return p.Version(), err
	}
	for {
		old := p.current.Load()
		if old != nil && m.Version <= old.Version {
			return old.Version, nil
		}
		if p.current.CompareAndSwap(old, m) {
			return m.Version, nil
		}
	}
}

// Version returns the version of the copy, 0 for none.
func (p *Provider) Version() uint64 {
	if m := p.current.Load(); m != nil {
		return m.Version
	}
	return 0
}

// Current returns the copy. ok is false if there is none or if it may be outdated, in which case it must not be
// used for decisions.
func (p *Provider) Current() (m *parser.Manifest, ok bool) {
	m = p.current.Load()
	return m, m != nil && p.isFresh(MaxStaleness)
}

// Organisation returns the organisation that a bearer token belongs to, or nil. It compares all tokens in
// constant time, so that timing reveals nothing about them.
func Organisation(m *parser.Manifest, token string) *parser.Organisation {
	sum := sha256.Sum256([]byte(token))
	text := []byte(hex.EncodeToString(sum[:]))
	var found *parser.Organisation
	for i := range m.Organisations {
		if subtle.ConstantTimeCompare(text, []byte(m.Organisations[i].Token)) == 1 {
			found = &m.Organisations[i]
		}
	}
	return found
}
