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

	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

func entry(index, term uint64) *messages.Entry {
	return &messages.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "event %d", index)}
}

func open(t *testing.T, folder string) (*Persister, replicator.InitialState) {
	t.Helper()
	k, initial, err := Open(folder, "vm1", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = k.Close() })
	return k, initial
}

// filled returns a folder whose log holds three entries in two writes.
func filled(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	k, _ := open(t, folder)
	is := is.New(t)
	is.NoErr(k.Append(0, &messages.HardState{Term: 1, Vote: "vm2"}, []*messages.Entry{entry(1, 1), entry(2, 1)}))
	is.NoErr(k.Append(0, nil, []*messages.Entry{entry(3, 1)}))
	is.NoErr(k.Close())
	return folder
}

func TestReopen(t *testing.T) {
	is := is.New(t)
	folder := filled(t)
	k, initial := open(t, folder)
	is.Equal(len(initial.Entries), 3)
	is.Equal(initial.HardState.GetVote(), "vm2")
	identity := k.Identity()
	is.NoErr(k.Append(2, nil, []*messages.Entry{entry(2, 2)}))
	is.NoErr(k.Close())
	k, initial = open(t, folder)
	is.Equal(len(initial.Entries), 2) // the truncation stands
	is.Equal(initial.Entries[1].GetTerm(), uint64(2))
	is.Equal(k.Identity(), identity)
}

// TestTornWrite cuts the file at every byte. What was synced before the last write must stand.
func TestTornWrite(t *testing.T) {
	folder := filled(t)
	path := filepath.Join(folder, logName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := len(whole) - len(lastWrite(t)); cut < len(whole); cut++ {
		for _, tail := range [][]byte{nil, make([]byte, 40)} {
			if err := os.WriteFile(path, append(append([]byte(nil), whole[:cut]...), tail...), fileMode); err != nil {
				t.Fatal(err)
			}
			k, initial, err := Open(folder, "vm1", nil)
			if err != nil || len(initial.Entries) != 2 {
				t.Fatalf("cut at %d of %d: %d entries, %v", cut, len(whole), len(initial.Entries), err)
			}
			if err := k.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// lastWrite returns the bytes of the last write into a filled folder.
func lastWrite(t *testing.T) []byte {
	t.Helper()
	data, err := encodeFrames(grouped([]*messages.Record{{Body: &messages.Record_Entry{Entry: entry(3, 1)}}}))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestTornPages loses pages of the last write: any range of its bytes reads as zeros, as after a
// loss of power before the sync. What was synced before it must stand, and the log must open.
func TestTornPages(t *testing.T) {
	folder := filled(t)
	path := filepath.Join(folder, logName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	start := len(whole) - len(lastWrite(t))
	for from := start; from < len(whole); from++ {
		for to := from + 1; to <= len(whole); to++ {
			torn := append([]byte(nil), whole...)
			clear(torn[from:to])
			if slices.Equal(torn, whole) {
				continue
			}
			if err := os.WriteFile(path, torn, fileMode); err != nil {
				t.Fatal(err)
			}
			k, initial, err := Open(folder, "vm1", nil)
			if err != nil || len(initial.Entries) != 2 {
				t.Fatalf("bytes %d to %d of the last write lost: %d entries, %v", from-start, to-start, len(initial.Entries), err)
			}
			if err := k.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestFlippedBit flips each bit of the log in turn. No other contents may come out of it: damage
// before the last write is found, and a damaged last write is dropped whole, as a torn one is.
func TestFlippedBit(t *testing.T) {
	folder := filled(t)
	path := filepath.Join(folder, logName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for bit := range len(whole) * 8 {
		flipped := append([]byte(nil), whole...)
		flipped[bit/8] ^= 1 << (bit % 8)
		if err := os.WriteFile(path, flipped, fileMode); err != nil {
			t.Fatal(err)
		}
		k, initial, err := Open(folder, "vm1", nil)
		if bit/8 < len(whole)-len(lastWrite(t)) {
			if !errors.Is(err, ErrCorrupt) {
				t.Fatalf("bit %d: opened with %d entries, %v", bit, len(initial.Entries), err)
			}
			continue
		}
		if err != nil || len(initial.Entries) != 2 {
			t.Fatalf("bit %d of the last write: opened with %d entries, %v", bit, len(initial.Entries), err)
		}
		if err := k.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestFirstGroupIsKept opens a folder again with another list of first keepers: the group that the
// folder began with stands.
func TestFirstGroupIsKept(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	first := &messages.Members{Voters: []*messages.Member{{Name: "vm1"}, {Name: "vm2"}, {Name: "vm3"}}}
	k, _, err := Open(folder, "vm1", first)
	is.NoErr(err)
	is.NoErr(k.Append(0, &messages.HardState{Term: 1}, []*messages.Entry{entry(1, 1)}))
	is.NoErr(k.Close())
	k, initial, err := Open(folder, "vm1", &messages.Members{})
	is.NoErr(err)
	is.Equal(len(initial.Members.GetVoters()), 3)
	is.NoErr(k.Close())
}

func TestForeignFolder(t *testing.T) {
	is := is.New(t)
	_, _, err := Open(filled(t), "vm2", nil)
	is.True(errors.Is(err, ErrName))
}

func TestResetGivesNewIdentity(t *testing.T) {
	is := is.New(t)
	folder := filled(t)
	k, _ := open(t, folder)
	old := k.Identity()
	is.NoErr(k.Close())
	is.True(!IsRebuilt(folder))
	is.NoErr(Reset(folder))
	is.True(IsRebuilt(folder))
	k, initial := open(t, folder)
	is.True(k.Identity() != old)
	is.Equal(len(initial.Entries), 0)
}

func TestFailedSyncIsFinal(t *testing.T) {
	is := is.New(t)
	k, _ := open(t, t.TempDir())
	is.NoErr(k.file.Close()) // every later write fails
	first := k.Append(0, nil, []*messages.Entry{entry(1, 1)})
	is.True(first != nil)
	is.Equal(k.Append(0, nil, []*messages.Entry{entry(1, 1)}), first)
	is.True(k.SaveSnapshot(&replicator.Snapshot{Index: 1}, nil, nil) != nil)
}

// TestCrashBetweenRenames leaves the new snapshot next to the old log.
func TestCrashBetweenRenames(t *testing.T) {
	is := is.New(t)
	folder := filled(t)
	k, _ := open(t, folder)
	old, err := os.ReadFile(filepath.Join(folder, logName))
	is.NoErr(err)
	s := &replicator.Snapshot{Index: 2, Term: 1, Members: &messages.Members{}, Data: []byte("state")}
	is.NoErr(k.SaveSnapshot(s, &messages.HardState{Term: 1}, []*messages.Entry{entry(3, 1)}))
	is.NoErr(k.Close())
	is.NoErr(os.WriteFile(filepath.Join(folder, logName), old, fileMode))
	_, initial := open(t, folder)
	is.Equal(initial.Snapshot.Index, uint64(2))
	is.Equal(len(initial.Entries), 1)
	is.Equal(initial.Entries[0].GetIndex(), uint64(3))
}

func TestSnapshotDamage(t *testing.T) {
	is := is.New(t)
	folder := filled(t)
	k, _ := open(t, folder)
	s := &replicator.Snapshot{Index: 3, Term: 1, Members: &messages.Members{}, Data: []byte("state")}
	is.NoErr(k.SaveSnapshot(s, nil, nil))
	is.NoErr(k.Close())
	path := filepath.Join(folder, snapshotName)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	data[len(data)-1] ^= 1
	is.NoErr(os.WriteFile(path, data, fileMode))
	_, _, err = Open(folder, "vm1", nil)
	is.True(errors.Is(err, ErrCorrupt))
}

// TestStorageAgainstMemory compares the files with a plain slice over random writes and reopens.
func TestStorageAgainstMemory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "k")
		if err != nil {
			rt.Fatal(err)
		}
		k, _, err := Open(folder, "vm1", nil)
		if err != nil {
			rt.Fatal(err)
		}
		var plain []*messages.Entry
		base, term := uint64(0), uint64(1)
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0, 1:
				e := entry(base+uint64(len(plain))+1, term)
				plain = append(plain, e)
				err = k.Append(0, &messages.HardState{Term: term}, []*messages.Entry{e})
			case 2:
				keep := rapid.IntRange(0, len(plain)).Draw(rt, "keep")
				term++
				plain = append([]*messages.Entry(nil), plain[:keep]...)
				e := entry(base+uint64(keep)+1, term)
				plain = append(plain, e)
				err = k.Append(e.GetIndex(), nil, []*messages.Entry{e})
			case 3:
				if len(plain) == 0 {
					continue
				}
				s := &replicator.Snapshot{Index: base + 1, Term: plain[0].GetTerm(), Members: &messages.Members{}}
				base, plain = base+1, plain[1:]
				err = k.SaveSnapshot(s, &messages.HardState{Term: term}, plain)
			}
			if err != nil {
				rt.Fatal(err)
			}
		}
		if err := k.Close(); err != nil {
			rt.Fatal(err)
		}
		k, initial, err := Open(folder, "vm1", nil)
		if err != nil || len(initial.Entries) != len(plain) {
			rt.Fatalf("reopened with %d entries, want %d: %v", len(initial.Entries), len(plain), err)
		}
		for i, e := range plain {
			if got := initial.Entries[i]; got.GetIndex() != e.GetIndex() || got.GetTerm() != e.GetTerm() {
				rt.Fatalf("entry %d is %v, want %v", i, got, e)
			}
		}
		if err := k.Close(); err != nil {
			rt.Fatal(err)
		}
	})
}

func TestWritable(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "new")
	is.NoErr(Writable(folder))
	left, err := os.ReadDir(folder)
	is.NoErr(err)
	is.Equal(len(left), 0)
	// A name that is taken by a folder can't be written, whoever runs the test.
	is.NoErr(os.Mkdir(filepath.Join(folder, probeName), folderMode))
	is.True(Writable(folder) != nil)
}
