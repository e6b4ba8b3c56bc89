// Package validator checks a catalog before it is committed. The check has no side effects.
package validator

import (
	"fmt"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Validate validates a catalog and returns an error for the first problem found.
func Validate(c *messages.Catalog) error {
	if c.GetVersion() == 0 {
		return fmt.Errorf("the version is 0, want 1 or more")
	}
	pools := map[string]bool{}
	for _, p := range c.GetPools() {
		pools[p.GetName()] = true
	}
	type route struct{ host, prefix string }
	routes := map[route]string{}
	for _, q := range c.GetQueues() {
		if !pools[q.GetPool()] {
			return fmt.Errorf("queue %q names the unknown pool %q", q.GetName(), q.GetPool())
		}
		at := route{q.GetHost(), q.GetPrefix()}
		if other, ok := routes[at]; ok {
			return fmt.Errorf("queues %q and %q share the host %q and the prefix %q", other, q.GetName(), at.host, at.prefix)
		}
		routes[at] = q.GetName()
	}
	owners := map[string]string{}
	for _, o := range c.GetOrganisations() {
		for _, k := range o.GetKeys() {
			if other, ok := owners[k]; ok && other != o.GetName() {
				return fmt.Errorf("organisations %q and %q share a key", other, o.GetName())
			}
			owners[k] = o.GetName()
		}
	}
	return nil
}
