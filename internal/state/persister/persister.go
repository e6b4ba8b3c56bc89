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
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	formatVersion    = 1
	frameHeaderBytes = 12 // little-endian: length, CRC-32C of the length, CRC-32C of the data
	maxFrameBytes    = 64 << 20
	logName          = "log"
	snapshotName     = "snapshot"
	tempSuffix       = ".new"
	rebuiltName      = "rebuilt"
	probeName        = "probe"
	probeBytes       = 64 << 10 // about the size of one sync under load
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt means that stored bytes differ from those written. The replica must not vote based on them; it
// restores from its peers under a new identity.
var ErrCorrupt = errors.New("stored data is corrupt")

// ErrNameMismatch means that the data folder belongs to another daemon.
var ErrNameMismatch = errors.New("the data folder belongs to another daemon")

// ErrUnwritable means that the data folder can't be written, as when its disk is full. What was stored before is
// intact.
var ErrUnwritable = errors.New("data folder is not writable")

func unwritable(operation string, err error) error {
	return fmt.Errorf("%w: %s: %w", ErrUnwritable, operation, err)
}

// Persister is the open storage of one daemon.
type Persister struct {
	files    filer.Files
	folder   string
	name     string
	identity string
	// bootstrap holds the initial members, for a log without them.
	bootstrap *messages.Members
	file      filer.File // nil while Reopen has not succeeded
	size      int64
	failed    error // of the write since which the contents of the log are unknown
	recovery  Recovery
}

// Recovery describes what the last Open or Reopen found in the folder.
type Recovery struct {
	New     bool  // the folder held no log
	Dropped int64 // bytes of a partial or torn write at the end of the log, which were discarded
}

// Open opens or creates the storage in a folder and returns its contents. A new folder starts with the bootstrap
// members, which may be empty. A partial or torn write at the end of the log is discarded; any other damage is
// ErrCorrupt.
func Open(files filer.Files, folder, name string, bootstrap *messages.Members) (*Persister, replicator.InitialState, error) {
	var none replicator.InitialState
	if err := filer.MakeFolder(files, folder); err != nil {
		return nil, none, unwritable("create data folder", err)
	}
	p := &Persister{files: files, folder: folder, name: name, bootstrap: bootstrap}
	initial, err := p.load()
	if err != nil {
		return nil, none, err
	}
	return p, initial, nil
}

func (p *Persister) load() (replicator.InitialState, error) {
	initial, contents, err := p.read()
	if err != nil {
		return initial, err
	}
	if contents == nil {
		initial.Members = p.bootstrap
		p.recovery = Recovery{New: true}
		return initial, p.createLog()
	}
	p.identity = contents.hello.GetIdentity()
	if s := initial.Snapshot; s != nil && contents.hello.GetFirst() != s.Index+1 {
		// A crash between the two renames of SaveSnapshot. New entries follow the snapshot, not this log.
		err = p.rewriteAfter(initial)
	} else {
		err = p.continueLog(contents.size)
	}
	if err != nil {
		return initial, unwritable("open log", err)
	}
	return initial, nil
}

// read reads the snapshot and the log. contents is nil if the folder has neither.
func (p *Persister) read() (initial replicator.InitialState, contents *logContents, err error) {
	if initial.Snapshot, err = readSnapshot(p.path(snapshotName)); err != nil {
		return initial, nil, err
	}
	contents, err = readLog(p.path(logName))
	if errors.Is(err, os.ErrNotExist) && initial.Snapshot == nil {
		return initial, nil, nil
	}
	if errors.Is(err, os.ErrNotExist) {
		return initial, nil, fmt.Errorf("%w: snapshot without a log", ErrCorrupt)
	}
	if err != nil {
		return initial, nil, err
	}
	if contents.hello.GetName() != p.name {
		return initial, nil, fmt.Errorf("%w: %q, not %q", ErrNameMismatch, contents.hello.GetName(), p.name)
	}
	p.recovery = Recovery{Dropped: contents.dropped}
	initial.HardState = contents.hard
	initial.Members = contents.hello.GetMembers()
	if initial.Members == nil {
		initial.Members = p.bootstrap // written by a version without this field
	}
	initial.Entries, err = contents.entriesAfter(initial.Snapshot)
	return initial, contents, err
}

// Reopen makes the storage usable after a failed write and returns its contents. The log is written anew: after a
// failed sync, what is read may be in memory only, and the failed write may have left a part of itself.
func (p *Persister) Reopen() (replicator.InitialState, error) {
	if p.file != nil {
		_ = p.file.Close() // one of its writes has failed already
		p.file = nil
	}
	initial, contents, err := p.read()
	if errors.Is(err, ErrCorrupt) {
		return initial, err
	}
	if err != nil {
		return initial, unwritable("read log", err)
	}
	if contents == nil || contents.hello.GetIdentity() != p.identity {
		return initial, fmt.Errorf("%w: the log was replaced", ErrCorrupt)
	}
	if err := p.rewriteAfter(initial); err != nil {
		return initial, unwritable("rewrite log", err)
	}
	p.failed = nil
	return initial, nil
}

// rewriteAfter replaces the log with one that holds the state that was read and continues its snapshot. The rename of
// the snapshot must not be lost after that, so the folder is synced first.
func (p *Persister) rewriteAfter(s replicator.InitialState) error {
	if err := p.files.SyncFolder(p.folder); err != nil {
		return err
	}
	hello := &messages.Hello{First: 1, Members: s.Members}
	if s.Snapshot != nil {
		hello.First = s.Snapshot.Index + 1
	}
	return p.rewriteLog(hello, s.HardState, s.Entries)
}

// firstPrefix starts the identity of a folder that was created with the first members of a group.
const firstPrefix = "first-"

// IsFirst reports whether a folder with this identity was created with the first members of a group. Only such folders may
// act for a voter whose identity isn't recorded yet: any other one has replaced the voter's disk.
func IsFirst(identity string) bool { return strings.HasPrefix(identity, firstPrefix) }

// createLog creates the log of a new data folder, with a random identity.
func (p *Persister) createLog() error {
	raw := make([]byte, 16)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(raw)
	p.identity = hex.EncodeToString(raw)
	if len(p.bootstrap.GetVoters()) > 0 {
		p.identity = firstPrefix + p.identity
	}
	if err := p.rewriteLog(&messages.Hello{First: 1, Members: p.bootstrap}, nil, nil); err != nil {
		return unwritable("create log", err)
	}
	return nil
}

// continueLog opens a log that was read. The process that wrote it may have been killed between a rename and the sync of
// the folder: the names must be durable before anything is appended.
func (p *Persister) continueLog(size int64) error {
	if err := p.files.SyncFolder(p.folder); err != nil {
		return err
	}
	return p.openLog(size)
}

// openLog opens the log file for appending and truncates it to size, which drops a partial write at its end.
func (p *Persister) openLog(size int64) error {
	f, err := p.files.Open(p.path(logName), os.O_RDWR)
	if err != nil {
		return err
	}
	if err := errors.Join(f.Truncate(size), f.Sync()); err != nil {
		return errors.Join(fmt.Errorf("truncate: %w", err), f.Close())
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		return errors.Join(err, f.Close())
	}
	p.file = f
	p.size = size
	return nil
}

// Identity returns the random identifier that the folder got at its creation.
func (p *Persister) Identity() string { return p.identity }

// Recovery returns what the last Open or Reopen found in the folder.
func (p *Persister) Recovery() Recovery { return p.recovery }

// Size returns the size of the log file in bytes.
func (p *Persister) Size() int64 { return p.size }

// Append writes the changes of one step and syncs them together. After an error all later writes fail until Reopen:
// what a failed write or sync left on disk is unknown.
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

// MaxEntryBytes limits the data of an entry, so that it fits into a frame of any version of this package. The first ones
// refuse frames of more than 8 MiB.
const MaxEntryBytes = 7 << 20

// maxGroupBytes limits the size of a group of several records.
const maxGroupBytes = 2 << 20

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
	p.failed = unwritable(operation, err)
	return p.failed
}

// ErrNotSaved means that there was no space for a snapshot. The storage is unchanged and can be appended to.
var ErrNotSaved = errors.New("snapshot is not saved")

// SaveSnapshot stores a snapshot and rewrites the log to hold only the entries after it. After errors other than
// ErrNotSaved all later writes fail until Reopen.
func (p *Persister) SaveSnapshot(s *replicator.Snapshot, hard *messages.HardState, rest []*messages.Entry) error {
	if p.failed != nil {
		return p.failed
	}
	if err := p.writeTemp(snapshotName, func(w io.Writer) error { return writeSnapshot(w, s) }); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSaved, err)
	}
	if err := p.replace(snapshotName); err != nil {
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
	err = p.writeTemp(logName, func(w io.Writer) error {
		_, err := w.Write(buffer)
		return err
	})
	if err != nil {
		return err
	}
	if err := p.replace(logName); err != nil {
		return err
	}
	if p.file != nil {
		old := p.file
		p.file = nil
		if err := old.Close(); err != nil {
			return fmt.Errorf("close old log: %w", err)
		}
	}
	return p.openLog(int64(len(buffer)))
}

// writeTemp writes and syncs the temporary file that replaces the one with this name. On an error it is removed, to
// free its space.
func (p *Persister) writeTemp(name string, write func(io.Writer) error) error {
	temp := p.path(name + tempSuffix)
	f, err := p.files.Open(temp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return fmt.Errorf("create file: %w", err)
	}
	w := bufio.NewWriter(f)
	if err := errors.Join(write(w), w.Flush()); err != nil {
		return errors.Join(fmt.Errorf("write %s: %w", name, err), f.Close(), p.files.Remove(temp))
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return errors.Join(fmt.Errorf("sync %s: %w", name, err), p.files.Remove(temp))
	}
	return nil
}

// replace renames the temporary file to its name and syncs the folder. After a crash either the old or the new file
// is complete.
func (p *Persister) replace(name string) error {
	if err := p.files.Rename(p.path(name+tempSuffix), p.path(name)); err != nil {
		return fmt.Errorf("rename: %w", err)
	}
	return p.files.SyncFolder(p.folder)
}

// Close closes the log file.
func (p *Persister) Close() error {
	if p.file == nil {
		return nil
	}
	return p.file.Close()
}

func (p *Persister) path(name string) string { return filepath.Join(p.folder, name) }

// Reset renames the files of a folder, so that the daemon can restore from its peers under a new identity. It
// also leaves a marker file: because the folder has lost its votes and entries, it must never bootstrap a new
// cluster.
func Reset(files filer.Files, folder string) error {
	if err := writeMarker(files, folder); err != nil {
		return unwritable("mark folder as rebuilt", err)
	}
	var errs []error
	for _, name := range []string{logName, snapshotName} {
		path := filepath.Join(folder, name)
		if err := files.Rename(path, path+".corrupt"); err != nil && !errors.Is(err, os.ErrNotExist) {
			errs = append(errs, err)
		}
	}
	if err := errors.Join(append(errs, files.SyncFolder(folder))...); err != nil {
		return unwritable("move files away", err)
	}
	return nil
}

// writeMarker stores the marker of Reset.
func writeMarker(files filer.Files, folder string) error {
	f, err := files.Open(filepath.Join(folder, rebuiltName), os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close(), files.SyncFolder(folder))
}

// WasReset reports whether Reset was ever called on a folder.
func WasReset(folder string) bool {
	_, err := os.Stat(filepath.Join(folder, rebuiltName))
	return err == nil
}

// Writable writes and syncs a probe file in a folder. It returns ErrUnwritable if the disk is full or failing.
func Writable(files filer.Files, folder string) error {
	if err := filer.MakeFolder(files, folder); err != nil {
		return unwritable("create data folder", err)
	}
	path := filepath.Join(folder, probeName)
	f, err := files.Open(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return unwritable("probe disk", err)
	}
	_, err = f.Write(make([]byte, probeBytes))
	if err := errors.Join(err, f.Sync(), f.Close(), files.Remove(path)); err != nil {
		return unwritable("probe disk", err)
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
