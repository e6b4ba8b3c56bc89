package tracker

import (
	"slices"
	"strings"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// index provides lookups in a catalog.
type index struct {
	queuesByHost        map[string][]*messages.Queue // longest prefix first
	queuesByName        map[string]*messages.Queue
	organisationsByKey  map[string]*messages.Organisation
	organisationsByName map[string]*messages.Organisation
	pools               map[string]*messages.Pool
}

func newIndex(c *messages.Catalog) index {
	x := index{
		queuesByHost: map[string][]*messages.Queue{}, queuesByName: map[string]*messages.Queue{},
		organisationsByKey: map[string]*messages.Organisation{}, organisationsByName: map[string]*messages.Organisation{},
		pools: map[string]*messages.Pool{},
	}
	for _, q := range c.GetQueues() {
		x.queuesByHost[q.GetHost()] = append(x.queuesByHost[q.GetHost()], q)
		x.queuesByName[q.GetName()] = q
	}
	for _, list := range x.queuesByHost {
		slices.SortStableFunc(list, func(a, b *messages.Queue) int { return len(b.GetPrefix()) - len(a.GetPrefix()) })
	}
	for _, o := range c.GetOrganisations() {
		x.organisationsByName[o.GetName()] = o
		for _, k := range o.GetKeys() {
			x.organisationsByKey[k] = o
		}
	}
	for _, p := range c.GetPools() {
		x.pools[p.GetName()] = p
	}
	return x
}

func (x *index) queue(host, path string) (q *messages.Queue, rest string, ok bool) {
	for _, q := range x.queuesByHost[host] {
		if strings.HasPrefix(path, q.GetPrefix()) {
			return q, path[len(q.GetPrefix()):], true
		}
	}
	return nil, "", false
}
