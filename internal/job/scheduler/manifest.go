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

var errSeatInUse = errors.New("the worker moved while work runs on its old seat")

// applyManifest puts a manifest in force if its version is later than the one that is. The
// same version with the same content succeeds again; with other content it is a conflict.
func (s *State) applyManifest(e ApplyManifest) {
	m, err := parser.ParseManifest("manifest", e.Text)
	if err != nil {
		s.refuseManifest(StatusInvalid, err.Error())
		return
	}
	sum := sha256.Sum256(e.Text)
	if earlier, ok := s.versions[m.Version]; ok && earlier == sum {
		s.emit(Reply{Status: StatusOK, Version: s.Version(), Reason: "applied before"})
		return
	}
	if m.Version <= s.Version() {
		s.refuseManifest(StatusConflict, fmt.Sprintf("version %d is in force, this is %d", s.Version(), m.Version))
		return
	}
	if m.Shape() != s.fleet.Shape() && len(s.workers) > 0 {
		s.refuseManifest(StatusInvalid, "width can't change while workers are announced")
		return
	}
	s.install(m, e.Text)
	s.versions[m.Version] = sum
	s.trimVersions()
	s.emit(Installed{m.Version})
	s.emit(Reply{Status: StatusOK, Version: m.Version})
	s.record("manifest", fmt.Sprint(m.Version), "", "in force with %d organisations", len(m.Organisations))
	for _, j := range m.Jobs {
		s.admit(j.Organisation, j.Key, j.Job)
	}
}

func (s *State) refuseManifest(status Status, reason string) {
	s.emit(Reply{Status: status, Reason: reason, Version: s.Version(), Text: s.text})
}

// install makes the manifest the one in force, without recording it.
func (s *State) install(m *parser.Manifest, text []byte) {
	s.manifest = m
	s.text = text
	s.declared = m.DeclaredFleet()
	if m.Shape() != s.fleet.Shape() {
		s.fleet = allocator.New(m.Shape(), s.lostWork)
	}
	s.fleet.SetCompact(m.IsCompact())
	s.fleet.SetGuarantees(m.Promises())
	s.freed = true
	s.noteRisk()
	s.refuseImpossible()
}

// refuseImpossible answers waiting jobs that the new manifest has no room for, and those of
// organisations that it no longer names.
func (s *State) refuseImpossible() {
	for _, org := range slices.Sorted(maps.Keys(s.waiting)) {
		for _, j := range slices.Clone(s.waiting[org]) {
			if !s.mayRun(j) {
				s.withdraw(j)
				s.refuseNow(j)
			}
		}
	}
}

// mayRun reports whether the manifest in force names the job's organisation and has room for
// the job in an empty fleet.
func (s *State) mayRun(j *job) bool { return s.manifest.Organisation(j.Org) != nil && s.fits(j) }

func (s *State) refuseNow(j *job) {
	s.answer(j, Answer{Outcome: NotRun, Code: CodeImpossible, Reason: "the manifest in force has no room for it"})
}

func (s *State) trimVersions() {
	if len(s.versions) <= maxVersions {
		return
	}
	delete(s.versions, slices.Min(slices.Collect(maps.Keys(s.versions))))
}
