package scheduler

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
	"github.com/bluebellgauge/bluebellgauge/internal/job/estimator"
	"github.com/bluebellgauge/bluebellgauge/internal/queue/tracker"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/detector"
)

// snapshotFormat is the version of the encoding of snapshots.
const snapshotFormat = 1

type snapshot struct {
	Format    int                  `json:"format"`
	Now       time.Time            `json:"now"`
	Text      []byte               `json:"text"`
	Versions  map[uint64][32]byte  `json:"versions"`
	Fleet     allocator.Snapshot   `json:"fleet"`
	Workers   map[string]*worker   `json:"workers"`
	Gone      []string             `json:"gone"`
	Jobs      []*job               `json:"jobs"`
	Answered  map[string][]string  `json:"answered"`
	LastGrant allocator.GrantID    `json:"lastgrant"`
	NextPass  time.Time            `json:"nextpass"`
	RetryAt   time.Time            `json:"retryat"`
	Freed     bool                 `json:"freed"`
	Estimates *estimator.Estimator `json:"estimates"`
	Health    *detector.Detector   `json:"health"`
	Queues    []byte               `json:"queues,omitempty"`
}

// Save writes the state between two events.
func (s *State) Save() ([]byte, error) {
	snap := snapshot{
		Format: snapshotFormat, Now: s.now, Text: s.text, Versions: s.versions,
		Fleet: s.fleet.Save(), Workers: s.workers, Gone: s.gone, Answered: s.answered,
		LastGrant: s.lastGrant, NextPass: s.nextPass, RetryAt: s.retryAt, Freed: s.freed, Estimates: s.estimates, Health: s.health,
	}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		snap.Jobs = append(snap.Jobs, s.jobs[id])
	}
	queues, err := s.queues.Save()
	if err != nil {
		return nil, err
	}
	snap.Queues = queues
	data, err := json.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("save decisions: %w", err)
	}
	return data, nil
}

// Restore reads a state that Save wrote.
func Restore(data []byte) (*State, error) {
	snap := snapshot{Estimates: estimator.New(), Health: detector.New()}
	if err := json.Unmarshal(data, &snap); err != nil {
		return nil, fmt.Errorf("restore decisions: %w", err)
	}
	if snap.Format != snapshotFormat {
		return nil, fmt.Errorf("restore decisions: format %d, want %d", snap.Format, snapshotFormat)
	}
	s := New()
	if err := s.restoreManifest(snap.Text); err != nil {
		return nil, err
	}
	fleet, err := allocator.Restore(snap.Fleet, s.lostWork)
	if err != nil {
		return nil, fmt.Errorf("restore decisions: %w", err)
	}
	s.fleet = fleet
	if s.manifest != nil {
		s.fleet.SetCompact(s.manifest.IsCompact())
	}
	s.now = snap.Now
	s.gone = snap.Gone
	s.lastGrant = snap.LastGrant
	s.nextPass = snap.NextPass
	s.retryAt = snap.RetryAt
	s.freed = snap.Freed
	s.estimates = snap.Estimates
	s.health = snap.Health
	maps.Copy(s.versions, snap.Versions)
	maps.Copy(s.workers, snap.Workers)
	maps.Copy(s.answered, snap.Answered)
	s.restoreJobs(snap.Jobs)
	s.queues, err = tracker.Restore(snap.Queues)
	return s, err
}

func (s *State) restoreManifest(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	m, err := parser.ParseManifest("manifest", text)
	if err != nil {
		return fmt.Errorf("restore decisions: %w", err)
	}
	s.manifest = m
	s.text = text
	s.declared = m.DeclaredFleet()
	return nil
}

// restoreJobs rebuilds all indexes over jobs.
func (s *State) restoreJobs(jobs []*job) {
	for _, j := range jobs {
		s.jobs[j.ID] = j
		if j.Phase == Waiting {
			s.waiting[j.Org] = append(s.waiting[j.Org], j)
		}
		if !j.Deadline.IsZero() {
			s.timed[j.ID] = j
		}
		if g := s.fleet.Grant(j.Grant); g != nil {
			s.byGrant[j.Grant] = j
			s.sent(j)
			s.usage[j.Org] += g.SlotCount()
		}
	}
	for _, queue := range s.waiting {
		slices.SortFunc(queue, compareJobs)
	}
}
