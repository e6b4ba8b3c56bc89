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

// logContents is what a log file holds.
type logContents struct {
	hello   *messages.Hello
	hard    *messages.HardState
	entries []*messages.Entry
	size    int64 // of the whole frames
}

// readLog reads a log file. A loss of power may leave the last write cut short or torn, so a damaged
// last frame is dropped: whatever is confirmed is synced before the next frame is written. Damage
// with a whole frame after it is ErrCorrupt.
func readLog(path string) (*logContents, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	c := &logContents{}
	for int(c.size) < len(data) {
		frame, whole, err := nextFrame(data[c.size:])
		if !whole && hasFrame(data[c.size+1:]) {
			return nil, fmt.Errorf("%w: log at byte %d: %w", ErrCorrupt, c.size, cmp.Or(err, errCut))
		}
		if !whole {
			break
		}
		if err := c.add(frame); err != nil {
			return nil, fmt.Errorf("%w: log at byte %d: %w", ErrCorrupt, c.size, err)
		}
		c.size += frameHeader + int64(len(frame))
	}
	if c.hello == nil {
		return nil, fmt.Errorf("%w: the log has no head", ErrCorrupt)
	}
	return c, nil
}

// nextFrame returns the first frame. whole is false for a tail that was cut short, which is
// one that ends before its length or holds nothing but zeros.
func nextFrame(data []byte) (frame []byte, whole bool, err error) {
	if len(data) < frameHeader || allZero(data[:frameHeader]) {
		return nil, false, nil
	}
	length := binary.LittleEndian.Uint32(data)
	if crc32.Checksum(data[:4], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, false, errors.New("checksum of the length does not match")
	}
	sum := binary.LittleEndian.Uint32(data[8:])
	if length > maxFrame {
		return nil, false, fmt.Errorf("frame of %d bytes, want at most %d", length, maxFrame)
	}
	if int(length) > len(data)-frameHeader {
		return nil, false, nil
	}
	frame = data[frameHeader : frameHeader+length]
	if crc32.Checksum(frame, castagnoli) != sum {
		return nil, false, errors.New("checksum does not match")
	}
	return frame, true, nil
}

// errCut tells of a frame that ends before its length and is not the last one.
var errCut = errors.New("a frame is cut short")

// hasFrame reports whether a whole frame starts anywhere in the data.
func hasFrame(data []byte) bool {
	for len(data) >= frameHeader {
		// A header of zeros is no frame: the checksum of a length of 0 is not 0.
		if _, whole, err := nextFrame(data); whole && err == nil {
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

func (c *logContents) add(frame []byte) error {
	r := &messages.Record{}
	if err := proto.Unmarshal(frame, r); err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	return c.take(r)
}

func (c *logContents) take(r *messages.Record) error {
	if (c.hello == nil) != (r.GetHello() != nil) {
		return errors.New("the head stands in the wrong place")
	}
	switch body := r.GetBody().(type) {
	case *messages.Record_Hello:
		if body.Hello.GetFormat() != fileFormat {
			return fmt.Errorf("format %d, want %d", body.Hello.GetFormat(), fileFormat)
		}
		c.hello = body.Hello
	case *messages.Record_Hard:
		c.hard = body.Hard
	case *messages.Record_Entry:
		return c.addEntry(body.Entry)
	case *messages.Record_Truncate:
		c.truncate(body.Truncate)
	case *messages.Record_Group:
		for _, member := range body.Group.GetRecords() {
			if err := c.take(member); err != nil {
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
		return fmt.Errorf("entry %d, want %d", e.GetIndex(), want)
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

// after returns the entries that follow a snapshot. A crash between the two renames of
// SaveSnapshot leaves a log that begins before the snapshot's end.
func (c *logContents) after(s *replicator.Snapshot) ([]*messages.Entry, error) {
	first := c.hello.GetFirst()
	base := uint64(0)
	if s != nil {
		base = s.Index
	}
	if first > base+1 {
		return nil, fmt.Errorf("%w: the log begins at %d, the snapshot ends at %d", ErrCorrupt, first, base)
	}
	skip := base + 1 - first
	if skip >= uint64(len(c.entries)) {
		return nil, nil
	}
	if skip > 0 && c.entries[skip-1].GetTerm() != s.Term {
		// The snapshot replaced a log that had taken another course.
		return nil, nil
	}
	return c.entries[skip:], nil
}

// writeSnapshot writes a head frame and then the state.
func writeSnapshot(w io.Writer, s *replicator.Snapshot) error {
	head, err := proto.Marshal(&messages.SnapshotHead{
		Format: fileFormat, Index: s.Index, Term: s.Term, Members: s.Members,
		Checksum: crc32.Checksum(s.Data, castagnoli), Length: uint64(len(s.Data)),
	})
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	for _, piece := range [][]byte{appendFrame(nil, head), s.Data} {
		if _, err := w.Write(piece); err != nil {
			return fmt.Errorf("write snapshot: %w", err)
		}
	}
	return nil
}

// readSnapshot reads a snapshot file, nil when there is none. A snapshot is renamed into place
// only once it is synced, so any damage is ErrCorrupt.
func readSnapshot(path string) (*replicator.Snapshot, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	frame, whole, err := nextFrame(data)
	if err != nil || !whole {
		return nil, fmt.Errorf("%w: snapshot head", ErrCorrupt)
	}
	head := &messages.SnapshotHead{}
	if err := proto.Unmarshal(frame, head); err != nil {
		return nil, fmt.Errorf("%w: snapshot head: %w", ErrCorrupt, err)
	}
	body := data[frameHeader+len(frame):]
	if head.GetFormat() != fileFormat {
		return nil, fmt.Errorf("%w: snapshot format %d, want %d", ErrCorrupt, head.GetFormat(), fileFormat)
	}
	if uint64(len(body)) != head.GetLength() || crc32.Checksum(body, castagnoli) != head.GetChecksum() {
		return nil, fmt.Errorf("%w: snapshot body", ErrCorrupt)
	}
	return &replicator.Snapshot{Index: head.GetIndex(), Term: head.GetTerm(), Members: head.GetMembers(), Data: body}, nil
}
