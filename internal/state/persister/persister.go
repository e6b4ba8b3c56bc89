// Package persister stores the replicated log and its snapshots in plain files under one data
// folder. Nothing counts as stored before it is synced, and a failed sync is final; only files
// and their encoding may live here.
package persister

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	fileFormat   = 1
	frameHeader  = 12      // bytes: length, CRC-32C of the length, CRC-32C of the data, little-endian
	maxFrame     = 8 << 20 // bytes
	logName      = "log"
	snapshotName = "snapshot"
	asideSuffix  = ".new"
	rebuildName  = "rebuilt"
	probeName    = "probe"
	probeBytes   = 64 << 10 // about what one sync writes under load
	fileMode     = 0o600
	folderMode   = 0o700
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt tells that stored bytes are not those that were written. The keeper must not vote
// on them; it rebuilds from its peers under a new identity.
var ErrCorrupt = errors.New("stored data is corrupt")

// ErrName tells that the folder belongs to another daemon.
var ErrName = errors.New("the data folder belongs to another daemon")

// Persister is the open storage of one daemon.
type Persister struct {
	folder   string
	name     string
	identity string
	file     *os.File
	size     int64
	failed   error
}

// Open opens or creates the storage in a folder and returns what it holds. A new folder begins
// with the members of the first group, which may be none. A write that was cut off or torn at the
// end of the log is dropped; any other damage is ErrCorrupt.
func Open(folder, name string, first *messages.Members) (*Persister, replicator.InitialState, error) {
	var none replicator.InitialState
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, none, fmt.Errorf("open data folder: %w", err)
	}
	k := &Persister{folder: folder, name: name}
	initial, err := k.load(first)
	if err != nil {
		return nil, none, err
	}
	return k, initial, nil
}

func (k *Persister) load(first *messages.Members) (replicator.InitialState, error) {
	var initial replicator.InitialState
	snapshot, err := readSnapshot(k.path(snapshotName))
	if err != nil {
		return initial, err
	}
	initial.Snapshot = snapshot
	contents, err := readLog(k.path(logName))
	if errors.Is(err, os.ErrNotExist) {
		if snapshot != nil {
			return initial, fmt.Errorf("%w: a snapshot without a log", ErrCorrupt)
		}
		initial.Members = first
		return initial, k.create(first)
	}
	if err != nil {
		return initial, err
	}
	if contents.hello.GetName() != k.name {
		return initial, fmt.Errorf("%w: %q, not %q", ErrName, contents.hello.GetName(), k.name)
	}
	k.identity = contents.hello.GetIdentity()
	initial.HardState = contents.hard
	initial.Members = contents.hello.GetMembers()
	if initial.Members == nil {
		initial.Members = first // the folder is older than the field
	}
	initial.Entries, err = contents.after(snapshot)
	if err != nil {
		return initial, err
	}
	return initial, k.openAt(contents.size)
}

// create starts the log of a daemon that has stored nothing yet.
func (k *Persister) create(first *messages.Members) error {
	raw := make([]byte, 16)
	// The reader of crypto/rand never fails.
	_, _ = rand.Read(raw)
	k.identity = hex.EncodeToString(raw)
	return k.rewrite(&messages.Hello{First: 1, Members: first}, nil, nil)
}

func (k *Persister) openAt(size int64) error {
	f, err := os.OpenFile(k.path(logName), os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	if err := errors.Join(f.Truncate(size), f.Sync()); err != nil {
		return errors.Join(fmt.Errorf("repair log: %w", err), f.Close())
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		return errors.Join(fmt.Errorf("open log: %w", err), f.Close())
	}
	k.file = f
	k.size = size
	return nil
}

// Identity returns the name that the folder was given when it was made.
func (k *Persister) Identity() string { return k.identity }

// Size returns the size of the log file in bytes.
func (k *Persister) Size() int64 { return k.size }

// Append writes the changes of one step and syncs them together. After an error the keeper
// stays failed: what a failed sync left on the disk is not known.
func (k *Persister) Append(truncate uint64, hard *messages.HardState, entries []*messages.Entry) error {
	if k.failed != nil {
		return k.failed
	}
	var records []*messages.Record
	if truncate > 0 {
		records = append(records, &messages.Record{Body: &messages.Record_Truncate{Truncate: truncate}})
	}
	if hard != nil {
		records = append(records, &messages.Record{Body: &messages.Record_Hard{Hard: hard}})
	}
	for _, e := range entries {
		records = append(records, &messages.Record{Body: &messages.Record_Entry{Entry: e}})
	}
	for _, group := range grouped(records) {
		buffer, err := encodeFrames([]*messages.Record{group})
		if err != nil {
			return err
		}
		if _, err := k.file.Write(buffer); err != nil {
			return k.fail("write log", err)
		}
		if err := k.file.Sync(); err != nil {
			return k.fail("sync log", err)
		}
		k.size += int64(len(buffer))
	}
	return nil
}

// maxGroup bounds what is synced together, so that it fits into a frame.
const maxGroup = maxFrame / 4 // bytes

// grouped packs records into groups that are each synced as one.
func grouped(records []*messages.Record) []*messages.Record {
	var list []*messages.Record
	var group *messages.Group
	size := 0
	for _, r := range records {
		n := proto.Size(r)
		if group == nil || size+n > maxGroup {
			group, size = &messages.Group{}, 0
			list = append(list, &messages.Record{Body: &messages.Record_Group{Group: group}})
		}
		group.Records = append(group.Records, r)
		size += n
	}
	return list
}

func (k *Persister) fail(what string, err error) error {
	k.failed = fmt.Errorf("%s: %w", what, err)
	return k.failed
}

// SaveSnapshot stores a snapshot and rewrites the log with the entries that follow it.
func (k *Persister) SaveSnapshot(s *replicator.Snapshot, hard *messages.HardState, rest []*messages.Entry) error {
	if k.failed != nil {
		return k.failed
	}
	if err := k.writeAside(snapshotName, func(w io.Writer) error { return writeSnapshot(w, s) }); err != nil {
		return k.fail("save snapshot", err)
	}
	if err := k.rewrite(&messages.Hello{First: s.Index + 1, Members: &messages.Members{}}, hard, rest); err != nil {
		return k.fail("rewrite log", err)
	}
	return nil
}

// rewrite replaces the log file by one with the given contents. It fills in the rest of hello.
func (k *Persister) rewrite(hello *messages.Hello, hard *messages.HardState, entries []*messages.Entry) error {
	hello.Format, hello.Name, hello.Identity = fileFormat, k.name, k.identity
	records := []*messages.Record{{Body: &messages.Record_Hello{Hello: hello}}}
	if hard != nil {
		records = append(records, &messages.Record{Body: &messages.Record_Hard{Hard: hard}})
	}
	for _, e := range entries {
		records = append(records, &messages.Record{Body: &messages.Record_Entry{Entry: e}})
	}
	buffer, err := encodeFrames(records)
	if err != nil {
		return err
	}
	err = k.writeAside(logName, func(w io.Writer) error {
		_, err := w.Write(buffer)
		return err
	})
	if err != nil {
		return err
	}
	if k.file != nil {
		if err := k.file.Close(); err != nil {
			return fmt.Errorf("close old log: %w", err)
		}
	}
	return k.openAt(int64(len(buffer)))
}

// writeAside writes a file under another name, syncs it, renames it and syncs the folder, so
// that a crash leaves the old file or the new one whole.
func (k *Persister) writeAside(name string, write func(io.Writer) error) error {
	aside := k.path(name + asideSuffix)
	f, err := os.OpenFile(aside, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("create file: %w", err)
	}
	w := bufio.NewWriter(f)
	if err := errors.Join(write(w), w.Flush(), f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := os.Rename(aside, k.path(name)); err != nil {
		return fmt.Errorf("rename: %w", err)
	}
	return syncFolder(k.folder)
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	return errors.Join(d.Sync(), d.Close())
}

// Close closes the log file.
func (k *Persister) Close() error { return k.file.Close() }

func (k *Persister) path(name string) string { return filepath.Join(k.folder, name) }

// Reset moves the files of a folder aside, so that the daemon can rebuild from its peers under
// a new identity. The folder is marked: what was in it is forgotten, so it must never take part in
// the first election of a new cluster.
func Reset(folder string) error {
	errs := []error{os.WriteFile(filepath.Join(folder, rebuildName), nil, fileMode)}
	for _, name := range []string{logName, snapshotName} {
		path := filepath.Join(folder, name)
		if err := os.Rename(path, path+".corrupt"); err != nil && !errors.Is(err, os.ErrNotExist) {
			errs = append(errs, err)
		}
	}
	return errors.Join(append(errs, syncFolder(folder))...)
}

// IsRebuilt reports whether a folder was reset at some time.
func IsRebuilt(folder string) bool {
	_, err := os.Stat(filepath.Join(folder, rebuildName))
	return err == nil
}

// Writable reports whether a folder takes a write and a sync. A disk that is full or out of order
// gives the error.
func Writable(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("probe the disk: %w", err)
	}
	path := filepath.Join(folder, probeName)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("probe the disk: %w", err)
	}
	_, err = f.Write(make([]byte, probeBytes))
	if err := errors.Join(err, f.Sync(), f.Close(), os.Remove(path)); err != nil {
		return fmt.Errorf("probe the disk: %w", err)
	}
	return nil
}

func encodeFrames(records []*messages.Record) ([]byte, error) {
	var buffer []byte
	for _, r := range records {
		data, err := proto.Marshal(r)
		if err != nil {
			return nil, fmt.Errorf("encode record: %w", err)
		}
		buffer = appendFrame(buffer, data)
	}
	return buffer, nil
}

// appendFrame appends data with its header. The length has a checksum of its own, so that the
// start of a frame can be told from other bytes.
func appendFrame(buffer, data []byte) []byte {
	length := binary.LittleEndian.AppendUint32(nil, uint32(len(data)))
	buffer = append(buffer, length...)
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(length, castagnoli))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(data, castagnoli))
	return append(buffer, data...)
}
