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

// Versions of the snapshot encoding. Builds that know only the first one would ignore evacuations, so a snapshot that holds one
// has the second version, which they refuse.
const (
	snapshotFormat           = 1
	evacuationSnapshotFormat = 2
)

type snapshot struct {
	Format          int                  `json:"format"`
	Now             time.Time            `json:"now"`
	ManifestText    []byte               `json:"text"`
	ManifestDigests map[uint64][32]byte  `json:"versions"`
	Fleet           allocator.Snapshot   `json:"fleet"`
	Workers         map[string]*worker   `json:"workers"`
	LostWorkers     []string             `json:"gone"`
	Jobs            []*job               `json:"jobs"`
	Answered        map[string][]string  `json:"answered"`
	LastGrant       allocator.GrantID    `json:"lastgrant"`
	NextPass        time.Time            `json:"nextpass"`
	RetryAt         time.Time            `json:"retryat"`
	CapacityChanged bool                 `json:"freed"`
	Estimates       *estimator.Estimator `json:"estimates"`
	Health          *detector.Detector   `json:"health"`
	Queues          []byte               `json:"queues,omitempty"`
}

// Save encodes the state. It must be called between two events.
func (s *State) Save() ([]byte, error) {
	snap := snapshot{
		Format: snapshotFormat, Now: s.now, ManifestText: s.manifestText, ManifestDigests: s.manifestDigests,
		Fleet: s.fleet.Save(), Workers: s.workers, LostWorkers: s.lostWorkers, Answered: s.answered,
		LastGrant: s.lastGrant, NextPass: s.nextPass, RetryAt: s.retryAt, CapacityChanged: s.capacityChanged, Estimates: s.estimates, Health: s.health,
	}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		snap.Jobs = append(snap.Jobs, s.jobs[id])
	}
	if len(s.queues.Evacuations()) > 0 {
		snap.Format = evacuationSnapshotFormat
	}
	queues, err := s.queues.Save()
	if err != nil {
		return nil, err
	}
	snap.Queues = queues
	data, err := json.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("save scheduler state: %w", err)
	}
	return data, nil
}

// Restore decodes a state encoded by Save.
func Restore(data []byte) (*State, error) {
	snap := snapshot{Estimates: estimator.New(), Health: detector.New()}
	if err := json.Unmarshal(data, &snap); err != nil {
		return nil, fmt.Errorf("restore scheduler state: %w", err)
	}
	if snap.Format != snapshotFormat && snap.Format != evacuationSnapshotFormat {
		return nil, fmt.Errorf("restore scheduler state: format %d, want %d or %d", snap.Format, snapshotFormat, evacuationSnapshotFormat)
	}
	s := New()
	if err := s.restoreManifest(snap.ManifestText); err != nil {
		return nil, err
	}
	fleet, err := allocator.Restore(snap.Fleet, s.lostWork)
	if err != nil {
		return nil, fmt.Errorf("restore scheduler state: %w", err)
	}
	s.fleet = fleet
	if s.manifest != nil {
		s.fleet.SetCompact(s.manifest.IsCompact())
	}
	s.now = snap.Now
	s.lostWorkers = snap.LostWorkers
	s.lastGrant = snap.LastGrant
	s.nextPass = snap.NextPass
	s.retryAt = snap.RetryAt
	s.capacityChanged = snap.CapacityChanged
	s.estimates = snap.Estimates
	s.health = snap.Health
	maps.Copy(s.manifestDigests, snap.ManifestDigests)
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
		return fmt.Errorf("restore scheduler state: %w", err)
	}
	s.manifest = m
	s.manifestText = text
	s.declaredFleet = m.DeclaredFleet()
	return nil
}

// restoreJobs adds the jobs and rebuilds all indexes over them.
func (s *State) restoreJobs(jobs []*job) {
	for _, j := range jobs {
		s.jobs[j.ID] = j
		if j.Phase == Waiting {
			s.waiting[j.Org] = append(s.waiting[j.Org], j)
		}
		if !j.Deadline.IsZero() {
			s.withDeadline[j.ID] = j
		}
		if g := s.fleet.Grant(j.Grant); g != nil {
			s.byGrant[j.Grant] = j
			s.markUnconfirmed(j)
			s.usedSlots[j.Org] += g.SlotCount()
		}
	}
	for _, queue := range s.waiting {
		slices.SortFunc(queue, compareJobs)
	}
}
