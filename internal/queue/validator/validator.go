// Package validator finds what is wrong with a catalog before it is committed. It is a pure function.
package validator

import (
	"fmt"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// New checks a whole catalog and returns the first fault that it finds.
func New(c *messages.Catalog) error {
	if c.GetVersion() == 0 {
		return fmt.Errorf("the version is 0, want 1 or more")
	}
	pools := map[string]bool{}
	for _, p := range c.GetPools() {
		pools[p.GetName()] = true
	}
	type place struct{ host, prefix string }
	places := map[place]string{}
	for _, q := range c.GetQueues() {
		if !pools[q.GetPool()] {
			return fmt.Errorf("queue %q names the unknown pool %q", q.GetName(), q.GetPool())
		}
		at := place{q.GetHost(), q.GetPrefix()}
		if other, ok := places[at]; ok {
			return fmt.Errorf("queues %q and %q share the host %q and the prefix %q", other, q.GetName(), at.host, at.prefix)
		}
		places[at] = q.GetName()
	}
	holders := map[string]string{}
	for _, o := range c.GetOrganisations() {
		for _, k := range o.GetKeys() {
			if other, ok := holders[k]; ok && other != o.GetName() {
				return fmt.Errorf("organisations %q and %q share a key", other, o.GetName())
			}
			holders[k] = o.GetName()
		}
	}
	return nil
}
