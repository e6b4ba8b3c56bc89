package tracker

import (
	"slices"
	"strings"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// index finds what a catalog holds.
type index struct {
	hosts  map[string][]*messages.Queue // longest prefix first
	byName map[string]*messages.Queue
	keys   map[string]*messages.Organisation
	names  map[string]*messages.Organisation
	pools  map[string]*messages.Pool
}

func newIndex(c *messages.Catalog) index {
	x := index{
		hosts: map[string][]*messages.Queue{}, byName: map[string]*messages.Queue{},
		keys: map[string]*messages.Organisation{}, names: map[string]*messages.Organisation{},
		pools: map[string]*messages.Pool{},
	}
	for _, q := range c.GetQueues() {
		x.hosts[q.GetHost()] = append(x.hosts[q.GetHost()], q)
		x.byName[q.GetName()] = q
	}
	for _, list := range x.hosts {
		slices.SortStableFunc(list, func(a, b *messages.Queue) int { return len(b.GetPrefix()) - len(a.GetPrefix()) })
	}
	for _, o := range c.GetOrganisations() {
		x.names[o.GetName()] = o
		for _, k := range o.GetKeys() {
			x.keys[k] = o
		}
	}
	for _, p := range c.GetPools() {
		x.pools[p.GetName()] = p
	}
	return x
}

func (x *index) queue(host, path string) (q *messages.Queue, rest string, ok bool) {
	for _, q := range x.hosts[host] {
		if strings.HasPrefix(path, q.GetPrefix()) {
			return q, path[len(q.GetPrefix()):], true
		}
	}
	return nil, "", false
}
