package scheduler

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/job/allocator"
)

var errMovedWhileInUse = errors.New("worker changed its place, rack or service while jobs are running on it")

// applyManifest puts a manifest in force if its version is later than the current one. Applying a version
// again succeeds if the content is the same and is a conflict otherwise.
func (s *State) applyManifest(e ApplyManifest) {
	m, err := parser.ParseManifest("manifest", e.Text)
	if err != nil {
		s.rejectManifest(StatusInvalid, err.Error())
		return
	}
	digest := sha256.Sum256(e.Text)
	if earlier, ok := s.manifestDigests[m.Version]; ok && earlier == digest {
		s.emit(Reply{Status: StatusOK, Version: s.Version(), Reason: "already applied"})
		return
	}
	if m.Version <= s.Version() {
		s.rejectManifest(StatusConflict, fmt.Sprintf("version %d is in force, this is %d", s.Version(), m.Version))
		return
	}
	if m.Geometry() != s.fleet.Geometry() && len(s.workers) > 0 {
		s.rejectManifest(StatusInvalid, "width can't change while workers are announced")
		return
	}
	s.install(m, e.Text)
	s.manifestDigests[m.Version] = digest
	s.trimManifestVersions()
	s.emit(Installed{m.Version})
	s.emit(Reply{Status: StatusOK, Version: m.Version})
	s.record("manifest", fmt.Sprint(m.Version), "", "in force with %d organisations", len(m.Organisations))
	for _, j := range m.Jobs {
		s.admit(j.Organisation, j.Key, j.Job)
	}
}

func (s *State) rejectManifest(status Status, reason string) {
	s.emit(Reply{Status: status, Reason: reason, Version: s.Version(), Text: s.manifestText})
}

// install puts the manifest in force. The caller adds its digest to manifestDigests.
func (s *State) install(m *parser.Manifest, text []byte) {
	s.manifest = m
	s.manifestText = text
	s.declaredFleet = m.DeclaredFleet()
	if m.Geometry() != s.fleet.Geometry() {
		s.fleet = allocator.New(m.Geometry(), s.lostWork)
	}
	s.fleet.SetCompact(m.IsCompact())
	s.fleet.SetGuarantees(m.AllocatorGuarantees())
	s.capacityChanged = true
	s.recordAtRisk()
	s.rejectUnplaceable()
}

// rejectUnplaceable answers the waiting jobs that don't fit the new manifest and those of organisations that it
// no longer lists.
func (s *State) rejectUnplaceable() {
	for _, org := range slices.Sorted(maps.Keys(s.waiting)) {
		for _, j := range slices.Clone(s.waiting[org]) {
			if !s.isPlaceable(j) {
				s.withdraw(j)
				s.rejectJob(j)
			}
		}
	}
}

// isPlaceable reports whether the manifest in force lists the organisation of the job and the job would fit in
// an empty fleet.
func (s *State) isPlaceable(j *job) bool {
	return s.manifest.Organisation(j.Org) != nil && s.fitsEmptyFleet(j)
}

func (s *State) rejectJob(j *job) {
	s.setAnswer(j, Answer{Outcome: NotRun, Code: CodeImpossible, Reason: "the manifest in force has no room for it"})
}

func (s *State) trimManifestVersions() {
	if len(s.manifestDigests) <= maxManifestVersions {
		return
	}
	delete(s.manifestDigests, slices.Min(slices.Collect(maps.Keys(s.manifestDigests))))
}
