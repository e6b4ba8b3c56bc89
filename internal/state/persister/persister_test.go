package persister

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

func entry(index, term uint64) *messages.Entry {
	return &messages.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "event %d", index)}
}

func open(t *testing.T, folder string) (*Persister, replicator.InitialState) {
	t.Helper()
	p, initial, err := Open(filer.Disk{}, folder, "vm1", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	return p, initial
}

// newFilledFolder returns a folder whose log holds three entries from two writes.
func newFilledFolder(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	p, _ := open(t, folder)
	is := is.New(t)
	is.NoErr(p.Append(0, &messages.HardState{Term: 1, Vote: "vm2"}, []*messages.Entry{entry(1, 1), entry(2, 1)}))
	is.NoErr(p.Append(0, nil, []*messages.Entry{entry(3, 1)}))
	is.NoErr(p.Close())
	return folder
}

func TestReopen(t *testing.T) {
	is := is.New(t)
	folder := newFilledFolder(t)
	p, initial := open(t, folder)
	is.Equal(len(initial.Entries), 3)
	is.Equal(initial.HardState.GetVote(), "vm2")
	identity := p.Identity()
	is.NoErr(p.Append(2, nil, []*messages.Entry{entry(2, 2)}))
	is.NoErr(p.Close())
	p, initial = open(t, folder)
	is.Equal(len(initial.Entries), 2) // the truncation persists
	is.Equal(initial.Entries[1].GetTerm(), uint64(2))
	is.Equal(p.Identity(), identity)
}

// TestTornWrite truncates the file at every byte of the last write, with and without a tail of zeros. The entries
// synced before that write must be kept.
func TestTornWrite(t *testing.T) {
	folder := newFilledFolder(t)
	path := filepath.Join(folder, logName)
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for length := len(original) - len(lastWrite(t)); length < len(original); length++ {
		for _, tail := range [][]byte{nil, make([]byte, 40)} {
			if err := os.WriteFile(path, append(append([]byte(nil), original[:length]...), tail...), 0o600); err != nil {
				t.Fatal(err)
			}
			p, initial, err := Open(filer.Disk{}, folder, "vm1", nil)
			if err != nil || len(initial.Entries) != 2 {
				t.Fatalf("truncated to %d of %d bytes: %d entries, %v", length, len(original), len(initial.Entries), err)
			}
			if err := p.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// lastWrite returns the bytes of the last write by newFilledFolder.
func lastWrite(t *testing.T) []byte {
	t.Helper()
	data, err := encodeFrames(groupRecords([]*messages.Record{{Body: &messages.Record_Entry{Entry: entry(3, 1)}}}))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestTornPages zeroes each range of bytes in the last write, as a power loss before the sync may do. The log
// must open with the entries synced before that write.
func TestTornPages(t *testing.T) {
	folder := newFilledFolder(t)
	path := filepath.Join(folder, logName)
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	start := len(original) - len(lastWrite(t))
	for from := start; from < len(original); from++ {
		for to := from + 1; to <= len(original); to++ {
			torn := append([]byte(nil), original...)
			clear(torn[from:to])
			if slices.Equal(torn, original) {
				continue
			}
			if err := os.WriteFile(path, torn, 0o600); err != nil {
				t.Fatal(err)
			}
			p, initial, err := Open(filer.Disk{}, folder, "vm1", nil)
			if err != nil || len(initial.Entries) != 2 {
				t.Fatalf("bytes %d to %d of the last write zeroed: %d entries, %v", from-start, to-start, len(initial.Entries), err)
			}
			if err := p.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestFlippedBit flips each bit of the log in turn. The log must never open with altered contents: damage before
// the last write is reported as ErrCorrupt, and a damaged last write is discarded entirely, like a torn one.
func TestFlippedBit(t *testing.T) {
	folder := newFilledFolder(t)
	path := filepath.Join(folder, logName)
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for bit := range len(original) * 8 {
		flipped := append([]byte(nil), original...)
		flipped[bit/8] ^= 1 << (bit % 8)
		if err := os.WriteFile(path, flipped, 0o600); err != nil {
			t.Fatal(err)
		}
		p, initial, err := Open(filer.Disk{}, folder, "vm1", nil)
		if bit/8 < len(original)-len(lastWrite(t)) {
			if !errors.Is(err, ErrCorrupt) {
				t.Fatalf("bit %d: opened with %d entries, %v", bit, len(initial.Entries), err)
			}
			continue
		}
		if err != nil || len(initial.Entries) != 2 {
			t.Fatalf("bit %d of the last write: opened with %d entries, %v", bit, len(initial.Entries), err)
		}
		if err := p.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestBootstrapMembersAreKept reopens a folder with other bootstrap members. The stored ones must be used.
func TestBootstrapMembersAreKept(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	first := &messages.Members{Voters: []*messages.Member{{Name: "vm1"}, {Name: "vm2"}, {Name: "vm3"}}}
	p, _, err := Open(filer.Disk{}, folder, "vm1", first)
	is.NoErr(err)
	is.NoErr(p.Append(0, &messages.HardState{Term: 1}, []*messages.Entry{entry(1, 1)}))
	is.NoErr(p.Close())
	p, initial, err := Open(filer.Disk{}, folder, "vm1", &messages.Members{})
	is.NoErr(err)
	is.Equal(len(initial.Members.GetVoters()), 3)
	is.NoErr(p.Close())
}

func TestNameMismatch(t *testing.T) {
	is := is.New(t)
	_, _, err := Open(filer.Disk{}, newFilledFolder(t), "vm2", nil)
	is.True(errors.Is(err, ErrNameMismatch))
}

func TestResetGivesNewIdentity(t *testing.T) {
	is := is.New(t)
	folder := newFilledFolder(t)
	p, _ := open(t, folder)
	old := p.Identity()
	is.NoErr(p.Close())
	is.True(!WasReset(folder))
	is.NoErr(Reset(filer.Disk{}, folder))
	is.True(WasReset(folder))
	p, initial := open(t, folder)
	is.True(p.Identity() != old)
	is.Equal(len(initial.Entries), 0)
}

func TestFailedSyncIsFinal(t *testing.T) {
	is := is.New(t)
	p, _ := open(t, t.TempDir())
	is.NoErr(p.file.Close()) // makes every later write fail
	first := p.Append(0, nil, []*messages.Entry{entry(1, 1)})
	is.True(first != nil)
	is.Equal(p.Append(0, nil, []*messages.Entry{entry(1, 1)}), first)
	is.True(p.SaveSnapshot(&replicator.Snapshot{Index: 1}, nil, nil) != nil)
}

// TestCrashBetweenRenames restores the old log next to the new snapshot, as a crash between the two renames of
// SaveSnapshot does. The log must yield only the entries after the snapshot.
func TestCrashBetweenRenames(t *testing.T) {
	is := is.New(t)
	folder := newFilledFolder(t)
	p, _ := open(t, folder)
	old, err := os.ReadFile(filepath.Join(folder, logName))
	is.NoErr(err)
	s := &replicator.Snapshot{Index: 2, Term: 1, Members: &messages.Members{}, Data: []byte("state")}
	is.NoErr(p.SaveSnapshot(s, &messages.HardState{Term: 1}, []*messages.Entry{entry(3, 1)}))
	is.NoErr(p.Close())
	is.NoErr(os.WriteFile(filepath.Join(folder, logName), old, 0o600))
	_, initial := open(t, folder)
	is.Equal(initial.Snapshot.Index, uint64(2))
	is.Equal(len(initial.Entries), 1)
	is.Equal(initial.Entries[0].GetIndex(), uint64(3))
}

func TestSnapshotDamage(t *testing.T) {
	is := is.New(t)
	folder := newFilledFolder(t)
	p, _ := open(t, folder)
	s := &replicator.Snapshot{Index: 3, Term: 1, Members: &messages.Members{}, Data: []byte("state")}
	is.NoErr(p.SaveSnapshot(s, nil, nil))
	is.NoErr(p.Close())
	path := filepath.Join(folder, snapshotName)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	data[len(data)-1] ^= 1
	is.NoErr(os.WriteFile(path, data, 0o600))
	_, _, err = Open(filer.Disk{}, folder, "vm1", nil)
	is.True(errors.Is(err, ErrCorrupt))
}

// TestStorageMatchesModel compares the reopened storage with an in-memory slice after random writes.
func TestStorageMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "k")
		if err != nil {
			rt.Fatal(err)
		}
		p, _, err := Open(filer.Disk{}, folder, "vm1", nil)
		if err != nil {
			rt.Fatal(err)
		}
		var model []*messages.Entry
		base, term := uint64(0), uint64(1)
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0, 1:
				e := entry(base+uint64(len(model))+1, term)
				model = append(model, e)
				err = p.Append(0, &messages.HardState{Term: term}, []*messages.Entry{e})
			case 2:
				keep := rapid.IntRange(0, len(model)).Draw(rt, "keep")
				term++
				model = append([]*messages.Entry(nil), model[:keep]...)
				e := entry(base+uint64(keep)+1, term)
				model = append(model, e)
				err = p.Append(e.GetIndex(), nil, []*messages.Entry{e})
			case 3:
				if len(model) == 0 {
					continue
				}
				s := &replicator.Snapshot{Index: base + 1, Term: model[0].GetTerm(), Members: &messages.Members{}}
				base, model = base+1, model[1:]
				err = p.SaveSnapshot(s, &messages.HardState{Term: term}, model)
			}
			if err != nil {
				rt.Fatal(err)
			}
		}
		if err := p.Close(); err != nil {
			rt.Fatal(err)
		}
		p, initial, err := Open(filer.Disk{}, folder, "vm1", nil)
		if err != nil || len(initial.Entries) != len(model) {
			rt.Fatalf("reopened with %d entries, want %d: %v", len(initial.Entries), len(model), err)
		}
		for i, e := range model {
			if got := initial.Entries[i]; got.GetIndex() != e.GetIndex() || got.GetTerm() != e.GetTerm() {
				rt.Fatalf("entry %d is %v, want %v", i, got, e)
			}
		}
		if err := p.Close(); err != nil {
			rt.Fatal(err)
		}
	})
}

func TestWritable(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "new")
	is.NoErr(Writable(filer.Disk{}, folder))
	files, err := os.ReadDir(folder)
	is.NoErr(err)
	is.Equal(len(files), 0)
	// Opening a directory for writing fails for every user, including root.
	is.NoErr(os.Mkdir(filepath.Join(folder, probeName), 0o700))
	is.True(Writable(filer.Disk{}, folder) != nil)
}
