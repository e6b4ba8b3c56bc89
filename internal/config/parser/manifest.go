package parser

import (
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
)

// Limits on a manifest.
const (
	MaxManifestBytes   = 4 << 20 // bytes
	maxOrganisations   = 1000
	maxQueueLength     = 100_000
	defaultQueueLength = 2000
	defaultWidth       = 8
	defaultCheckpoint  = Duration(5e9)
)

// Manifest is the complete configuration that operators maintain: the fleet, the organisations with their
// guarantees, the service objectives, and jobs to run.
type Manifest struct {
	Version       uint64         `json:"version"`
	Width         Width          `json:"width,omitempty"`
	Checkpoint    Duration       `json:"checkpoint,omitempty"` // time limit of a checkpoint when slots are reclaimed
	Weigh         string         `json:"weigh,omitempty"`      // whether placement favours completion or low fragmentation
	Places        []Place        `json:"places"`
	Organisations []Organisation `json:"organisations"`
	Objectives    []Objective    `json:"objectives,omitempty"`
	Jobs          []ManifestJob  `json:"jobs,omitempty"`
}

// Width is the size of the cell hierarchy: slots per worker and workers per rack.
type Width struct {
	Slots   int `json:"slots,omitempty"`
	Workers int `json:"workers,omitempty"`
}

// Place declares the workers of one service in one data centre.
type Place struct {
	Name         string  `json:"name"`
	Service      string  `json:"service"`
	Racks        int     `json:"racks"`
	Workers      int     `json:"workers"` // per rack
	Slots        int     `json:"slots"`   // per worker
	Processors   float64 `json:"processors"`
	Memory       float64 `json:"memory"` // GiB
	Accelerators int     `json:"accelerators"`
}

// Organisation is a tenant with its limits and guarantees.
type Organisation struct {
	Name       string      `json:"name"`
	Token      string      `json:"token"`           // SHA-256 of the bearer token, in hexadecimal
	Queue      int         `json:"queue,omitempty"` // maximum number of waiting jobs
	Rate       float64     `json:"rate,omitempty"`  // submissions per second at each entry, 0 for no limit
	Guarantees []Guarantee `json:"guarantees,omitempty"`
}

// Guarantee reserves Count cells for an organisation. Slots, the size of a cell, is a power of two.
type Guarantee struct {
	Service string `json:"service"`
	Place   string `json:"place,omitempty"`
	Slots   int    `json:"slots"`
	Count   int    `json:"count"`
}

// Objective is a service-level objective on the completion of jobs.
type Objective struct {
	Service      string   `json:"service"`
	Organisation string   `json:"organisation,omitempty"`
	Target       float64  `json:"target"` // fraction of jobs, such as 0.99
	Within       Duration `json:"within"`
}

// ManifestJob is a job that is submitted when the manifest is applied.
type ManifestJob struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Job
}

// ParseManifest decodes and validates a manifest. All guarantees together must fit into the declared fleet;
// the error lists those that do not.
func ParseManifest(file string, text []byte) (*Manifest, error) {
	if len(text) > MaxManifestBytes {
		return nil, &Error{File: file, Reason: fmt.Sprintf("has %d bytes, want at most %d", len(text), MaxManifestBytes)}
	}
	m := &Manifest{}
	if err := decode(file, text, m); err != nil {
		return nil, err
	}
	m.setDefaults()
	c := &checker{file: file, text: text}
	m.check(c)
	if err := c.result(); err != nil {
		return nil, err
	}
	return m, m.checkFit(file)
}

func (m *Manifest) setDefaults() {
	if m.Width.Slots == 0 {
		m.Width.Slots = defaultWidth
	}
	if m.Width.Workers == 0 {
		m.Width.Workers = defaultWidth
	}
	if m.Weigh == "" {
		m.Weigh = "completion"
	}
	if m.Checkpoint == 0 {
		m.Checkpoint = defaultCheckpoint
	}
	for i := range m.Organisations {
		if m.Organisations[i].Queue == 0 {
			m.Organisations[i].Queue = defaultQueueLength
		}
	}
}

func (m *Manifest) check(c *checker) {
	c.require(m.Version > 0, "version", "is missing, want 1 or more")
	c.require(isPowerOfTwo(m.Width.Slots) && m.Width.Slots <= 64, "width.slots", "is %d, want a power of two up to 64", m.Width.Slots)
	c.require(isPowerOfTwo(m.Width.Workers) && m.Width.Workers <= 64, "width.workers", "is %d, want a power of two up to 64", m.Width.Workers)
	c.require(m.Checkpoint > 0 && m.Checkpoint <= Duration(600e9), "checkpoint", "is %s, want up to 10m", m.Checkpoint.Std())
	c.require(m.Weigh == "completion" || m.Weigh == "fragmentation", "weigh", "is %q, want completion or fragmentation", m.Weigh)
	c.require(len(m.Places) > 0, "places", "is empty, want at least one")
	for i, p := range m.Places {
		m.checkPlace(c, fmt.Sprintf("places[%d].", i), p)
	}
	m.checkOrganisations(c)
	for i, o := range m.Objectives {
		m.checkObjective(c, fmt.Sprintf("objectives[%d].", i), o)
	}
	m.checkJobs(c)
}

func (m *Manifest) checkPlace(c *checker, prefix string, p Place) {
	c.requireName(p.Name, prefix+"name")
	c.requireName(p.Service, prefix+"service")
	c.require(p.Racks > 0 && p.Racks <= 4096, prefix+"racks", "is %d, want 1 to 4096", p.Racks)
	c.require(p.Workers > 0 && p.Workers <= 256, prefix+"workers", "is %d, want 1 to 256", p.Workers)
	c.require(p.Slots > 0 && p.Slots <= m.Width.Slots, prefix+"slots", "is %d, want 1 to %d", p.Slots, m.Width.Slots)
	c.require(p.Processors > 0, prefix+"processors", "is %g, want more than 0", p.Processors)
	c.require(p.Memory > 0, prefix+"memory", "is %g, want more than 0", p.Memory)
	c.require(p.Accelerators >= 0, prefix+"accelerators", "is %d, want 0 or more", p.Accelerators)
	count := 0
	for _, o := range m.Places {
		if o.Name == p.Name && o.Service == p.Service {
			count++
		}
	}
	c.require(count == 1, prefix+"name", "%q with service %q is declared %d times", p.Name, p.Service, count)
}

func (m *Manifest) checkOrganisations(c *checker) {
	c.require(len(m.Organisations) <= maxOrganisations, "organisations", "has %d entries, want at most %d", len(m.Organisations), maxOrganisations)
	names := map[string]bool{}
	tokens := map[string]bool{}
	for i, o := range m.Organisations {
		prefix := fmt.Sprintf("organisations[%d].", i)
		c.requireName(o.Name, prefix+"name")
		c.require(!names[o.Name], prefix+"name", "%q is declared twice", o.Name)
		raw, err := hex.DecodeString(o.Token)
		c.require(err == nil && len(raw) == 32, prefix+"token", "of %s is not a SHA-256 digest in hexadecimal", o.Name)
		c.require(!tokens[o.Token], prefix+"token", "of %s is used twice", o.Name)
		c.require(o.Queue > 0 && o.Queue <= maxQueueLength, prefix+"queue", "is %d, want 1 to %d", o.Queue, maxQueueLength)
		c.require(o.Rate >= 0, prefix+"rate", "is %g, want 0 or more", o.Rate)
		names[o.Name] = true
		tokens[o.Token] = true
		for k, g := range o.Guarantees {
			m.checkGuarantee(c, fmt.Sprintf("%sguarantees[%d].", prefix, k), g)
		}
	}
}

func (m *Manifest) checkGuarantee(c *checker, prefix string, g Guarantee) {
	geometry := m.Geometry()
	limit := 1 << geometry.MaxLevel()
	c.require(isPowerOfTwo(g.Slots) && g.Slots <= limit, prefix+"slots", "is %d, want a power of two up to %d", g.Slots, limit)
	c.require(g.Count > 0 && g.Count <= 10_000, prefix+"count", "is %d, want 1 to 10000", g.Count)
	declared := slices.ContainsFunc(m.Places, func(p Place) bool {
		return p.Service == g.Service && (g.Place == "" || g.Place == p.Name)
	})
	where := "any place"
	if g.Place != "" {
		where = fmt.Sprintf("place %q", g.Place)
	}
	c.require(declared, prefix+"service", "service %q is not declared in %s", g.Service, where)
}

func (m *Manifest) checkObjective(c *checker, prefix string, o Objective) {
	c.require(o.Target > 0 && o.Target < 1, prefix+"target", "is %g, want more than 0 and less than 1", o.Target)
	c.require(o.Within > 0, prefix+"within", "is %s, want more than 0s", o.Within.Std())
	c.require(m.HasService(o.Service), prefix+"service", "%q is not declared by any place", o.Service)
	c.require(o.Organisation == "" || m.Organisation(o.Organisation) != nil, prefix+"organisation", "%q is not declared", o.Organisation)
}

func (m *Manifest) checkJobs(c *checker) {
	seen := map[string]bool{}
	for i, j := range m.Jobs {
		prefix := fmt.Sprintf("jobs[%d].", i)
		id := j.Organisation + "/" + j.Key
		c.require(m.Organisation(j.Organisation) != nil, prefix+"organisation", "%q is not declared", j.Organisation)
		c.require(ValidKey(j.Key), prefix+"key", "is %q, want 1 to %d printable characters without a slash", j.Key, maxKeyLength)
		c.require(!seen[id], prefix+"key", "%q is declared twice", id)
		seen[id] = true
		j.check(c, prefix)
	}
}

// checkFit checks that all guarantees fit into the declared fleet.
func (m *Manifest) checkFit(file string) error {
	missing := m.DeclaredFleet().AtRisk()
	if len(missing) == 0 {
		return nil
	}
	return &Error{File: file, Field: "organisations", Reason: fmt.Sprintf("guarantees do not fit into the declared fleet: %v", missing)}
}

// DeclaredFleet returns a fleet with every declared worker and all guarantees, on which nothing runs.
func (m *Manifest) DeclaredFleet() *allocator.Fleet {
	f := allocator.New(m.Geometry(), func(allocator.GrantID) float64 { return 0 })
	for _, p := range m.Places {
		for r := range p.Racks {
			for w := range p.Workers {
				name := fmt.Sprintf("%s/%s/%d/%d", p.Name, p.Service, r, w)
				// Add cannot fail, since the slots were checked against the width.
				_ = f.Add(allocator.Worker{Name: name, Place: p.Name, Service: p.Service, Rack: fmt.Sprint(r), Slots: p.Slots})
			}
		}
	}
	f.SetGuarantees(m.AllocatorGuarantees())
	return f
}

// IsCompact reports whether low fragmentation takes precedence over early completion.
func (m *Manifest) IsCompact() bool { return m.Weigh == "fragmentation" }

// Geometry returns the geometry of the cell hierarchy.
func (m *Manifest) Geometry() allocator.Geometry {
	return allocator.Geometry{Slots: m.Width.Slots, Workers: m.Width.Workers}
}

// AllocatorGuarantees returns the guarantees of all organisations.
func (m *Manifest) AllocatorGuarantees() []allocator.Guarantee {
	var all []allocator.Guarantee
	for _, o := range m.Organisations {
		for _, g := range o.Guarantees {
			all = append(all, allocator.Guarantee{
				Org: o.Name, Service: g.Service, Place: g.Place,
				Level: levelForSlots(g.Slots), Count: g.Count,
			})
		}
	}
	return all
}

// Organisation returns the organisation with the given name, or nil.
func (m *Manifest) Organisation(name string) *Organisation {
	for i := range m.Organisations {
		if m.Organisations[i].Name == name {
			return &m.Organisations[i]
		}
	}
	return nil
}

// HasService reports whether any place declares the service.
func (m *Manifest) HasService(name string) bool {
	return slices.ContainsFunc(m.Places, func(p Place) bool { return p.Service == name })
}

// WantedName says which names ValidName accepts.
const WantedName = "1 to 64 letters, digits, dots, dashes and underscores"

// ValidName reports whether a name is as in WantedName.
func ValidName(name string) bool {
	if name == "" || len(name) > 64 {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '.' && r != '-' && r != '_' {
			return false
		}
	}
	return true
}

func isPowerOfTwo(n int) bool { return n > 0 && n&(n-1) == 0 }

func levelForSlots(slots int) allocator.Level {
	level := allocator.Level(0)
	for 1<<level < slots {
		level++
	}
	return level
}
