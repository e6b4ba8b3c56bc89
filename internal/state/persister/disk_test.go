package persister

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// refusing returns a disk that refuses operations from one to another with ENOSPC, counted from the first.
func refusing(from, to int) filer.Files {
	n := 0
	return filer.Faulty{Files: filer.Disk{}, Fault: func(op filer.Operation, _ string) error {
		n++
		if from < n && n <= to {
			return syscall.ENOSPC
		}
		if op == filer.OpSync || op == filer.OpSyncFolder {
			return filer.ErrSkip
		}
		return nil
	}}
}

// reopen reopens the storage until the disk has space. What was acknowledged must be there, and nothing else but the
// whole of the change that failed.
func reopen(t *testing.T, p *Persister, before, after []*messages.Entry) []*messages.Entry {
	t.Helper()
	for {
		initial, err := p.Reopen()
		if errors.Is(err, ErrUnwritable) {
			if p.Append(0, nil, []*messages.Entry{entry(1, 1)}) == nil {
				t.Fatal("an entry was acknowledged while the storage is not open")
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		base := uint64(0)
		if initial.Snapshot != nil {
			base = initial.Snapshot.Index
		}
		for _, want := range [][]*messages.Entry{before, after} {
			if slices.EqualFunc(initial.Entries, want[base:], func(a, b *messages.Entry) bool { return proto.Equal(a, b) }) {
				return want
			}
		}
		t.Fatalf("%d entries after %d, want those before or after the failed change: %v or %v", len(initial.Entries), base, before, after)
	}
}

// TestFullDisk fills the disk at each operation, for one and for more operations, which includes writes that are cut
// off. A failed write was final until the process was started again. After Reopen the storage must hold what was
// acknowledged, and what is appended after that must not follow a part of a failed write.
func TestFullDisk(t *testing.T) {
	const operations = 60                      // more than the changes below need
	for from := 9; from < operations; from++ { // the first ones create the storage
		for _, length := range []int{1, 3, 20} {
			folder := t.TempDir()
			p, _, err := Open(refusing(from, from+length), folder, "vm1", &messages.Members{Voters: []*messages.Member{{Name: "vm1"}}})
			if err != nil {
				t.Fatal(err)
			}
			identity := p.Identity()
			var entries []*messages.Entry
			for i := uint64(1); i <= 8; i++ {
				next, truncate := append(slices.Clone(entries), entry(i, 1)), uint64(0)
				if i == 6 { // a leader of a later term replaces entry 5
					truncate = 5
					next = append(slices.Clone(entries[:4]), entry(5, 2), entry(6, 2))
				}
				hard := &messages.HardState{Term: 1 + i/6, Vote: "vm1"}
				for len(entries) < len(next) {
					tail := next[len(next)-1:]
					if truncate > 0 {
						tail = next[4:]
					}
					if p.Append(truncate, hard, tail) == nil {
						entries = next
						break
					}
					entries = reopen(t, p, entries, next)
				}
				for i == 4 {
					s := &replicator.Snapshot{Index: 3, Term: 1, Members: &messages.Members{}, Data: []byte("state")}
					err := p.SaveSnapshot(s, hard, entries[3:])
					if err == nil {
						break
					}
					if !errors.Is(err, ErrNotSaved) {
						entries = reopen(t, p, entries, entries)
					}
				}
			}
			if err := p.Close(); err != nil {
				t.Fatal(err)
			}
			p, initial, err := Open(refusing(0, 0), folder, "vm1", nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = p.Close()
			if len(initial.Entries) != 5 || initial.Snapshot.Index != 3 || initial.Entries[1].GetTerm() != 2 || p.Identity() != identity {
				t.Fatalf("full from operation %d to %d: %d entries after a restart: %v", from, from+length, len(initial.Entries), initial.Entries)
			}
		}
	}
}

// TestFullDiskAtCreation refuses each operation that creates the storage. The next start must succeed.
func TestFullDiskAtCreation(t *testing.T) {
	for refused, done := 0, false; !done; refused++ {
		folder := filepath.Join(t.TempDir(), "new")
		p, _, err := Open(refusing(refused, refused+1), folder, "vm1", nil)
		done = err == nil
		if done {
			_ = p.Close()
		} else if !errors.Is(err, ErrUnwritable) {
			t.Fatalf("operation %d refused: %v", refused, err)
		}
		open(t, folder)
	}
}

// TestResetOnFullDisk refuses each operation of Reset in turn. Without space for the marker the files were moved away
// all the same, so that the next start took the folder for a new one and could bootstrap a second group.
func TestResetOnFullDisk(t *testing.T) {
	for refused, done := 0, false; !done; refused++ {
		folder := newFilledFolder(t)
		done = Reset(refusing(refused, refused+1), folder) == nil
		if _, err := os.Stat(filepath.Join(folder, logName)); errors.Is(err, os.ErrNotExist) && !WasReset(folder) {
			t.Fatalf("operation %d refused: the log was moved away without a marker", refused)
		}
	}
}

// TestMarkerIsSyncedBeforeRenames checks that the marker of Reset is synced, with its folder, before a file is moved
// away. A power loss could have kept the renames without the marker.
func TestMarkerIsSyncedBeforeRenames(t *testing.T) {
	is := is.New(t)
	var done []filer.Operation
	files := filer.Faulty{Files: filer.Disk{}, Fault: func(op filer.Operation, _ string) error {
		done = append(done, op)
		return nil
	}}
	is.NoErr(Reset(files, newFilledFolder(t)))
	is.Equal(done[:4], []filer.Operation{filer.OpOpen, filer.OpSync, filer.OpSyncFolder, filer.OpRename})
}

// TestCrashBetweenRenamesOfInstall restores the old log, which ends before the new snapshot, as a crash between the
// two renames of an installed snapshot does. Entries appended after that made the log count as corrupt.
func TestCrashBetweenRenamesOfInstall(t *testing.T) {
	is := is.New(t)
	folder := newFilledFolder(t)
	p, _ := open(t, folder)
	old, err := os.ReadFile(filepath.Join(folder, logName))
	is.NoErr(err)
	s := &replicator.Snapshot{Index: 10, Term: 2, Members: &messages.Members{}, Data: []byte("state")}
	is.NoErr(p.SaveSnapshot(s, &messages.HardState{Term: 2}, nil))
	is.NoErr(p.Close())
	is.NoErr(os.WriteFile(filepath.Join(folder, logName), old, 0o600))
	p, initial := open(t, folder)
	is.Equal(len(initial.Entries), 0)
	is.NoErr(p.Append(0, nil, []*messages.Entry{entry(11, 2)}))
	is.NoErr(p.Close())
	_, initial = open(t, folder)
	is.Equal(len(initial.Entries), 1)
	is.Equal(initial.Entries[0].GetIndex(), uint64(11))
	is.Equal(initial.HardState.GetVote(), "vm2") // of the old log
}

// TestRenamesAreSyncedBeforeRewrite opens a folder after a crash between the two renames of SaveSnapshot. The log may be
// replaced only once the first rename is synced: after a power loss the new log could lack its snapshot.
func TestRenamesAreSyncedBeforeRewrite(t *testing.T) {
	folder := newFilledFolder(t)
	p, _ := open(t, folder)
	is := is.New(t)
	old, err := os.ReadFile(filepath.Join(folder, logName))
	is.NoErr(err)
	is.NoErr(p.SaveSnapshot(&replicator.Snapshot{Index: 2, Term: 1, Members: &messages.Members{}}, nil, []*messages.Entry{entry(3, 1)}))
	is.NoErr(p.Close())
	is.NoErr(os.WriteFile(filepath.Join(folder, logName), old, 0o600))
	synced := false
	files := filer.Faulty{Files: filer.Disk{}, Fault: func(op filer.Operation, _ string) error {
		synced = synced || op == filer.OpSyncFolder
		if op == filer.OpRename && !synced {
			t.Error("a file was replaced before the folder was synced")
		}
		return nil
	}}
	p, _, err = Open(files, folder, "vm1", nil)
	is.NoErr(err)
	synced = false
	_, err = p.Reopen()
	is.NoErr(err)
	is.NoErr(p.Close())
}
