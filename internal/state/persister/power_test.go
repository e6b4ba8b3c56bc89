package persister

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

var (
	powerRuns = flag.Int("power.runs", 200, "runs of the tests that lose power")
	powerSeed = flag.Uint64("power.seed", 1, "first seed of the tests that lose power")
)

// contents is what a storage holds.
type contents struct {
	base    uint64 // index of the snapshot
	hard    *messages.HardState
	entries []*messages.Entry // after the snapshot
}

func (c contents) equal(o contents) bool {
	return c.base == o.base && proto.Equal(c.hard, o.hard) &&
		slices.EqualFunc(c.entries, o.entries, func(a, b *messages.Entry) bool { return proto.Equal(a, b) })
}

func (c contents) String() string {
	text := fmt.Sprintf("snapshot %d, hard state {%v}, entries", c.base, c.hard)
	for _, e := range c.entries {
		text += fmt.Sprintf(" %d(%d)", e.GetIndex(), e.GetTerm())
	}
	return text
}

// powerRun runs one storage through kills and losses of power.
type powerRun struct {
	seed     uint64
	rng      *rand.Rand
	disk     *filer.Volatile
	folder   string
	process  *filer.VolatileProcess
	storage  *Persister // nil before it is open
	identity string     // "" before a storage was open
	refused  int        // operations until one is refused, negative for none
	term     uint64
	// acked is acknowledged. next is what the last change leads to, if it was not acknowledged.
	acked contents
	next  contents
}

// TestAcknowledgedSurvivesPowerLoss changes a storage whose process is killed at any operation and whose machine loses
// power. All that was acknowledged must be read back, the vote and the identity included.
func TestAcknowledgedSurvivesPowerLoss(t *testing.T) {
	for i := range *powerRuns {
		seed := *powerSeed + uint64(i)
		folder := t.TempDir()
		r := &powerRun{seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), disk: filer.NewVolatile(folder, seed), folder: folder, refused: -1}
		for range 40 {
			if err := r.step(); err != nil {
				t.Fatalf("-power.seed %d: %v", seed, err)
			}
		}
	}
}

func (r *powerRun) step() error {
	if r.storage == nil || r.process.IsKilled() {
		return r.restart()
	}
	if r.rng.IntN(12) == 0 {
		r.refused = r.rng.IntN(8)
	}
	var err error
	switch r.rng.IntN(6) {
	case 0:
		err = r.save()
	case 1:
		err = r.install()
	default:
		err = r.append()
	}
	switch {
	case err == nil:
		r.acked = r.next
	case errors.Is(err, ErrNotSaved):
		r.next = r.acked
	case errors.Is(err, ErrUnwritable):
		return r.reopen()
	default:
		return err
	}
	return nil
}

// restart kills the process, may lose power, and starts a process that may be killed in turn.
func (r *powerRun) restart() error {
	if r.process != nil {
		r.process.Kill()
	}
	if r.rng.IntN(2) == 0 {
		if err := r.disk.LosePower(); err != nil {
			return err
		}
	}
	r.process, r.storage, r.refused = r.disk.NewProcess(r.rng.IntN(60)), nil, -1
	p, initial, err := Open(filer.Faulty{Files: r.process, Fault: r.fault}, r.folder, "vm1", &messages.Members{})
	if err != nil && r.process.IsKilled() {
		return nil
	}
	if err != nil {
		return err
	}
	if r.identity != "" && p.Identity() != r.identity {
		return fmt.Errorf("identity is %s after a restart, %s before", p.Identity(), r.identity)
	}
	r.storage, r.identity = p, p.Identity()
	return r.compare(initial)
}

func (r *powerRun) reopen() error {
	for !r.process.IsKilled() {
		initial, err := r.storage.Reopen()
		if err == nil {
			return r.compare(initial)
		}
		if !errors.Is(err, ErrUnwritable) {
			return err
		}
	}
	return nil
}

// compare checks what was read. It is synced, so that it must stay.
func (r *powerRun) compare(initial replicator.InitialState) error {
	read := contents{hard: initial.HardState, entries: initial.Entries}
	if initial.Snapshot != nil {
		read.base = initial.Snapshot.Index
	}
	if !read.equal(r.acked) && !read.equal(r.next) {
		return fmt.Errorf("read: %v; acknowledged: %v; last change: %v", read, r.acked, r.next)
	}
	r.acked, r.next = read, read
	return nil
}

// fault refuses the operation that was drawn.
func (r *powerRun) fault(filer.Operation, string) error {
	r.refused--
	if r.refused == -1 {
		return syscall.ENOSPC
	}
	return nil
}

func (r *powerRun) append() error {
	n := len(r.acked.entries)
	r.next = r.acked
	truncate := uint64(0)
	if n > 0 && r.rng.IntN(4) == 0 {
		r.term++
		n = r.rng.IntN(n)
		truncate = r.acked.base + uint64(n) + 1
	}
	r.next.entries = slices.Clone(r.acked.entries[:n])
	var added []*messages.Entry
	for i := range r.rng.IntN(4) {
		added = append(added, entry(r.acked.base+uint64(n+i)+1, r.term))
	}
	r.next.entries = append(r.next.entries, added...)
	var hard *messages.HardState
	if r.rng.IntN(2) == 0 {
		hard = &messages.HardState{Term: r.term, Vote: fmt.Sprint("vm", r.rng.IntN(9))}
		r.next.hard = hard
	}
	return r.storage.Append(truncate, hard, added)
}

// save saves a snapshot of a part of the log.
func (r *powerRun) save() error {
	if len(r.acked.entries) == 0 {
		return nil
	}
	n := 1 + r.rng.IntN(len(r.acked.entries))
	r.next = contents{base: r.acked.base + uint64(n), hard: r.acked.hard, entries: r.acked.entries[n:]}
	return r.storage.SaveSnapshot(r.snapshot(r.acked.entries[n-1].GetTerm()), r.next.hard, r.next.entries)
}

// install saves a snapshot that replaces the log.
func (r *powerRun) install() error {
	r.term++
	end := r.acked.base + uint64(len(r.acked.entries))
	r.next = contents{base: end + uint64(1+r.rng.IntN(3)), hard: r.acked.hard}
	return r.storage.SaveSnapshot(r.snapshot(r.term), r.next.hard, nil)
}

func (r *powerRun) snapshot(term uint64) *replicator.Snapshot {
	return &replicator.Snapshot{Index: r.next.base, Term: term, Members: &messages.Members{}, Data: []byte("state")}
}
