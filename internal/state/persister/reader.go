package persister

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// logContents is the decoded contents of a log file.
type logContents struct {
	hello   *messages.Hello
	hard    *messages.HardState
	entries []*messages.Entry
	size    int64 // of all complete frames, in bytes
	dropped int64 // bytes of a partial or torn write after them
}

// readLog reads a log file. A power loss may leave the last write partial or torn, so a damaged last frame is
// discarded: each frame is synced before it is acknowledged and before the next one is written. Damage followed
// by a complete frame is ErrCorrupt.
func readLog(path string) (*logContents, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	c := &logContents{}
	for int(c.size) < len(data) {
		frame, complete, err := nextFrame(data[c.size:])
		if !complete && hasFrame(data[c.size+1:]) {
			return nil, fmt.Errorf("%w: log at byte %d: %w", ErrCorrupt, c.size, cmp.Or(err, errPartialFrame))
		}
		if !complete {
			break
		}
		if err := c.addFrame(frame); err != nil {
			return nil, fmt.Errorf("%w: log at byte %d: %w", ErrCorrupt, c.size, err)
		}
		c.size += frameHeaderBytes + int64(len(frame))
	}
	if c.hello == nil {
		return nil, fmt.Errorf("%w: log has no header record", ErrCorrupt)
	}
	c.dropped = int64(len(data)) - c.size
	return c, nil
}

// nextFrame returns the first frame in data. complete is false if the frame is damaged, which also sets err, or
// partial: data ends before the frame does, or the header is all zeros.
func nextFrame(data []byte) (frame []byte, complete bool, err error) {
	if len(data) < frameHeaderBytes || allZero(data[:frameHeaderBytes]) {
		return nil, false, nil
	}
	length := binary.LittleEndian.Uint32(data)
	if crc32.Checksum(data[:4], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, false, errors.New("frame length checksum mismatch")
	}
	sum := binary.LittleEndian.Uint32(data[8:])
	if length > maxFrameBytes {
		return nil, false, fmt.Errorf("frame of %d bytes, want at most %d", length, maxFrameBytes)
	}
	if int(length) > len(data)-frameHeaderBytes {
		return nil, false, nil
	}
	frame = data[frameHeaderBytes : frameHeaderBytes+length]
	if crc32.Checksum(frame, castagnoli) != sum {
		return nil, false, errors.New("frame data checksum mismatch")
	}
	return frame, true, nil
}

// errPartialFrame describes a partial frame that is not the last one.
var errPartialFrame = errors.New("partial frame")

// hasFrame reports whether a complete frame starts at any offset in data.
func hasFrame(data []byte) bool {
	for len(data) >= frameHeaderBytes {
		// An all-zero header is not a frame: the checksum of a zero length is not zero.
		if _, complete, err := nextFrame(data); complete && err == nil {
			return true
		}
		data = data[1:]
	}
	return false
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}

func (c *logContents) addFrame(frame []byte) error {
	r := &messages.Record{}
	if err := proto.Unmarshal(frame, r); err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	return c.addRecord(r)
}

func (c *logContents) addRecord(r *messages.Record) error {
	if (c.hello == nil) != (r.GetHello() != nil) {
		return errors.New("header record missing or repeated")
	}
	switch body := r.GetBody().(type) {
	case *messages.Record_Hello:
		if body.Hello.GetFormat() != formatVersion {
			return fmt.Errorf("format %d, want %d", body.Hello.GetFormat(), formatVersion)
		}
		c.hello = body.Hello
	case *messages.Record_Hard:
		c.hard = body.Hard
	case *messages.Record_Entry:
		return c.addEntry(body.Entry)
	case *messages.Record_Truncate:
		c.truncate(body.Truncate)
	case *messages.Record_Group:
		for _, inner := range body.Group.GetRecords() {
			if err := c.addRecord(inner); err != nil {
				return err
			}
		}
	default:
		return errors.New("unknown record")
	}
	return nil
}

func (c *logContents) addEntry(e *messages.Entry) error {
	want := c.hello.GetFirst() + uint64(len(c.entries))
	if e.GetIndex() != want {
		return fmt.Errorf("entry has index %d, want %d", e.GetIndex(), want)
	}
	c.entries = append(c.entries, e)
	return nil
}

func (c *logContents) truncate(from uint64) {
	first := c.hello.GetFirst()
	if from < first {
		from = first
	}
	if keep := from - first; keep < uint64(len(c.entries)) {
		c.entries = c.entries[:keep]
	}
}

// entriesAfter returns the entries after a snapshot. A crash between the two renames of SaveSnapshot leaves a log
// that starts before the end of the snapshot.
func (c *logContents) entriesAfter(s *replicator.Snapshot) ([]*messages.Entry, error) {
	first := c.hello.GetFirst()
	base := uint64(0)
	if s != nil {
		base = s.Index
	}
	if first > base+1 {
		return nil, fmt.Errorf("%w: log starts at entry %d, snapshot ends at %d", ErrCorrupt, first, base)
	}
	skip := base + 1 - first
	if skip >= uint64(len(c.entries)) {
		return nil, nil
	}
	if skip > 0 && c.entries[skip-1].GetTerm() != s.Term {
		// The log diverges from the snapshot, which replaced it.
		return nil, nil
	}
	return c.entries[skip:], nil
}

// writeSnapshot writes a header frame followed by the state.
func writeSnapshot(w io.Writer, s *replicator.Snapshot) error {
	header, err := proto.Marshal(&messages.SnapshotHead{
		Format: formatVersion, Index: s.Index, Term: s.Term, Members: s.Members,
		Checksum: crc32.Checksum(s.Data, castagnoli), Length: uint64(len(s.Data)),
	})
	if err != nil {
		return fmt.Errorf("encode snapshot header: %w", err)
	}
	for _, part := range [][]byte{appendFrame(nil, header), s.Data} {
		if _, err := w.Write(part); err != nil {
			return fmt.Errorf("write snapshot: %w", err)
		}
	}
	return nil
}

// readSnapshot reads a snapshot file and returns nil if it does not exist. A snapshot is renamed into place only
// after it is synced, so any damage is ErrCorrupt.
func readSnapshot(path string) (*replicator.Snapshot, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	frame, complete, err := nextFrame(data)
	if err != nil || !complete {
		return nil, fmt.Errorf("%w: snapshot header", ErrCorrupt)
	}
	header := &messages.SnapshotHead{}
	if err := proto.Unmarshal(frame, header); err != nil {
		return nil, fmt.Errorf("%w: snapshot header: %w", ErrCorrupt, err)
	}
	body := data[frameHeaderBytes+len(frame):]
	if header.GetFormat() != formatVersion {
		return nil, fmt.Errorf("%w: snapshot format %d, want %d", ErrCorrupt, header.GetFormat(), formatVersion)
	}
	if uint64(len(body)) != header.GetLength() || crc32.Checksum(body, castagnoli) != header.GetChecksum() {
		return nil, fmt.Errorf("%w: snapshot length or checksum mismatch", ErrCorrupt)
	}
	return &replicator.Snapshot{Index: header.GetIndex(), Term: header.GetTerm(), Members: header.GetMembers(), Data: body}, nil
}
