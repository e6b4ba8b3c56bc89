// Package provider holds a daemon's copy of the manifest in force and says whether the copy
// may be decided by. Only the copy and its checks may live here.
package provider

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sync/atomic"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
)

// FreshFor is how long a daemon decides by its copy without word from a leader. It is below
// the bound within which a change must be in force everywhere.
const FreshFor = 5 * time.Second

// Provider is one daemon's copy.
type Provider struct {
	fresh   func(bound time.Duration) bool
	current atomic.Pointer[parser.Manifest]
}

// New returns a provider without a copy. fresh tells whether a leader was heard of within a
// bound.
func New(fresh func(bound time.Duration) bool) *Provider {
	return &Provider{fresh: fresh}
}

// Install puts a manifest in force here. A version that is not later than the one in force
// changes nothing, so that a version never goes down.
func (d *Provider) Install(text []byte) (version uint64, err error) {
	m, err := parser.ParseManifest("manifest", text)
	if err != nil {
		return d.Version(), err
	}
	for {
		old := d.current.Load()
		if old != nil && m.Version <= old.Version {
			return old.Version, nil
		}
		if d.current.CompareAndSwap(old, m) {
			return m.Version, nil
		}
	}
}

// Version returns the version in force here, 0 for none.
func (d *Provider) Version() uint64 {
	if m := d.current.Load(); m != nil {
		return m.Version
	}
	return 0
}

// Current returns the copy. ok is false when the daemon can't confirm that it is current, and
// so must not decide by it.
func (d *Provider) Current() (m *parser.Manifest, ok bool) {
	m = d.current.Load()
	return m, m != nil && d.fresh(FreshFor)
}

// Organisation returns the organisation that a bearer token belongs to, or nil. It takes the
// same time for every token.
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
