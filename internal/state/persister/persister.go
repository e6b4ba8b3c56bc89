// Package persister stores the replicated log and its snapshots as plain files in one data folder. Data counts
// as stored only once it is synced, and a failed sync is permanent. The package deals only with files and their
// encoding.
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
	formatVersion    = 1
	frameHeaderBytes = 12 // little-endian: length, CRC-32C of the length, CRC-32C of the data
	maxFrameBytes    = 8 << 20
	logName          = "log"
	snapshotName     = "snapshot"
	tempSuffix       = ".new"
	rebuiltName      = "rebuilt"
	probeName        = "probe"
	probeBytes       = 64 << 10 // about the size of one sync under load
	fileMode         = 0o600
	folderMode       = 0o700
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt means that stored bytes differ from those written. The replica must not vote based on them; it
// restores from its peers under a new identity.
var ErrCorrupt = errors.New("stored data is corrupt")

// ErrNameMismatch means that the data folder belongs to another daemon.
var ErrNameMismatch = errors.New("the data folder belongs to another daemon")

// Persister is the open storage of one daemon.
type Persister struct {
	folder   string
	name     string
	identity string
	file     *os.File
	size     int64
	failed   error
}

// Open opens or creates the storage in a folder and returns its contents. A new folder starts with the bootstrap
// members, which may be empty. A partial or torn write at the end of the log is discarded; any other damage is
// ErrCorrupt.
func Open(folder, name string, bootstrap *messages.Members) (*Persister, replicator.InitialState, error) {
	var none replicator.InitialState
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, none, fmt.Errorf("open data folder: %w", err)
	}
	p := &Persister{folder: folder, name: name}
	initial, err := p.load(bootstrap)
	if err != nil {
		return nil, none, err
	}
	return p, initial, nil
}

func (p *Persister) load(bootstrap *messages.Members) (replicator.InitialState, error) {
	var initial replicator.InitialState
	snapshot, err := readSnapshot(p.path(snapshotName))
	if err != nil {
		return initial, err
	}
	initial.Snapshot = snapshot
	contents, err := readLog(p.path(logName))
	if errors.Is(err, os.ErrNotExist) {
		if snapshot != nil {
			return initial, fmt.Errorf("%w: snapshot without a log", ErrCorrupt)
		}
		initial.Members = bootstrap
		return initial, p.createLog(bootstrap)
	}
	if err != nil {
		return initial, err
	}
	if contents.hello.GetName() != p.name {
		return initial, fmt.Errorf("%w: %q, not %q", ErrNameMismatch, contents.hello.GetName(), p.name)
	}
	p.identity = contents.hello.GetIdentity()
	initial.HardState = contents.hard
	initial.Members = contents.hello.GetMembers()
	if initial.Members == nil {
		initial.Members = bootstrap // written by a version without this field
	}
	initial.Entries, err = contents.entriesAfter(snapshot)
	if err != nil {
		return initial, err
	}
	return initial, p.openLog(contents.size)
}

// createLog creates the log of a new data folder, with a random identity.
func (p *Persister) createLog(bootstrap *messages.Members) error {
	raw := make([]byte, 16)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(raw)
	p.identity = hex.EncodeToString(raw)
	return p.rewriteLog(&messages.Hello{First: 1, Members: bootstrap}, nil, nil)
}

// openLog opens the log file for appending and truncates it to size, which drops a partial write at its end.
func (p *Persister) openLog(size int64) error {
	f, err := os.OpenFile(p.path(logName), os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	if err := errors.Join(f.Truncate(size), f.Sync()); err != nil {
		return errors.Join(fmt.Errorf("truncate log: %w", err), f.Close())
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		return errors.Join(fmt.Errorf("open log: %w", err), f.Close())
	}
	p.file = f
	p.size = size
	return nil
}

// Identity returns the random identifier that the folder got at its creation.
func (p *Persister) Identity() string { return p.identity }

// Size returns the size of the log file in bytes.
func (p *Persister) Size() int64 { return p.size }

// Append writes the changes of one step and syncs them together. After an error all later writes fail: what a
// failed sync left on disk is unknown.
func (p *Persister) Append(truncate uint64, hard *messages.HardState, entries []*messages.Entry) error {
	if p.failed != nil {
		return p.failed
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
	for _, group := range groupRecords(records) {
		buffer, err := encodeFrames([]*messages.Record{group})
		if err != nil {
			return err
		}
		if _, err := p.file.Write(buffer); err != nil {
			return p.fail("write log", err)
		}
		if err := p.file.Sync(); err != nil {
			return p.fail("sync log", err)
		}
		p.size += int64(len(buffer))
	}
	return nil
}

// maxGroupBytes limits the size of a group, so that it fits into a frame.
const maxGroupBytes = maxFrameBytes / 4

// groupRecords packs records into groups, each of which is written as one frame and synced.
func groupRecords(records []*messages.Record) []*messages.Record {
	var list []*messages.Record
	var group *messages.Group
	size := 0
	for _, r := range records {
		n := proto.Size(r)
		if group == nil || size+n > maxGroupBytes {
			group, size = &messages.Group{}, 0
			list = append(list, &messages.Record{Body: &messages.Record_Group{Group: group}})
		}
		group.Records = append(group.Records, r)
		size += n
	}
	return list
}

func (p *Persister) fail(operation string, err error) error {
	p.failed = fmt.Errorf("%s: %w", operation, err)
	return p.failed
}

// SaveSnapshot stores a snapshot and rewrites the log to hold only the entries after it.
func (p *Persister) SaveSnapshot(s *replicator.Snapshot, hard *messages.HardState, rest []*messages.Entry) error {
	if p.failed != nil {
		return p.failed
	}
	if err := p.writeAtomic(snapshotName, func(w io.Writer) error { return writeSnapshot(w, s) }); err != nil {
		return p.fail("save snapshot", err)
	}
	if err := p.rewriteLog(&messages.Hello{First: s.Index + 1, Members: &messages.Members{}}, hard, rest); err != nil {
		return p.fail("rewrite log", err)
	}
	return nil
}

// rewriteLog replaces the log file with one that holds the given contents. It fills in the format, name and
// identity of hello.
func (p *Persister) rewriteLog(hello *messages.Hello, hard *messages.HardState, entries []*messages.Entry) error {
	hello.Format, hello.Name, hello.Identity = formatVersion, p.name, p.identity
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
	err = p.writeAtomic(logName, func(w io.Writer) error {
		_, err := w.Write(buffer)
		return err
	})
	if err != nil {
		return err
	}
	if p.file != nil {
		if err := p.file.Close(); err != nil {
			return fmt.Errorf("close old log: %w", err)
		}
	}
	return p.openLog(int64(len(buffer)))
}

// writeAtomic replaces a file by writing and syncing a temporary one, renaming it and syncing the folder. After
// a crash either the old or the new file is complete.
func (p *Persister) writeAtomic(name string, write func(io.Writer) error) error {
	temp := p.path(name + tempSuffix)
	f, err := os.OpenFile(temp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("create file: %w", err)
	}
	w := bufio.NewWriter(f)
	if err := errors.Join(write(w), w.Flush(), f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := os.Rename(temp, p.path(name)); err != nil {
		return fmt.Errorf("rename: %w", err)
	}
	return syncFolder(p.folder)
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	return errors.Join(d.Sync(), d.Close())
}

// Close closes the log file.
func (p *Persister) Close() error { return p.file.Close() }

func (p *Persister) path(name string) string { return filepath.Join(p.folder, name) }

// Reset renames the files of a folder, so that the daemon can restore from its peers under a new identity. It
// also leaves a marker file: because the folder has lost its votes and entries, it must never bootstrap a new
// cluster.
func Reset(folder string) error {
	errs := []error{os.WriteFile(filepath.Join(folder, rebuiltName), nil, fileMode)}
	for _, name := range []string{logName, snapshotName} {
		path := filepath.Join(folder, name)
		if err := os.Rename(path, path+".corrupt"); err != nil && !errors.Is(err, os.ErrNotExist) {
			errs = append(errs, err)
		}
	}
	return errors.Join(append(errs, syncFolder(folder))...)
}

// WasReset reports whether Reset was ever called on a folder.
func WasReset(folder string) bool {
	_, err := os.Stat(filepath.Join(folder, rebuiltName))
	return err == nil
}

// Writable writes and syncs a probe file in a folder. It returns an error if the disk is full or failing.
func Writable(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("probe disk: %w", err)
	}
	path := filepath.Join(folder, probeName)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("probe disk: %w", err)
	}
	_, err = f.Write(make([]byte, probeBytes))
	if err := errors.Join(err, f.Sync(), f.Close(), os.Remove(path)); err != nil {
		return fmt.Errorf("probe disk: %w", err)
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

// appendFrame appends data with its header. The length has its own checksum, so that hasFrame can recognise the
// start of a frame in arbitrary bytes.
func appendFrame(buffer, data []byte) []byte {
	length := binary.LittleEndian.AppendUint32(nil, uint32(len(data)))
	buffer = append(buffer, length...)
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(length, castagnoli))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(data, castagnoli))
	return append(buffer, data...)
}
