package filer

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
)

// ErrKilled is returned by all operations of a process of a Volatile after it was killed.
var ErrKilled = errors.New("process is killed")

// Volatile is a folder that loses its unsynced changes when its machine loses power. It serves tests. The folder on
// the real disk always holds what a new process would read.
type Volatile struct {
	mu      sync.Mutex
	folder  string
	rng     *rand.Rand
	names   map[string]*inode // by file name
	durable map[string]*inode // names as of the last sync of the folder
	changes []nameChange      // of names, since then
}

// inode is the contents of a file.
type inode struct {
	data   []byte
	synced []byte
	writes []write // since the last sync
}

// write is a write at an offset, or a change of the size if data is nil.
type write struct {
	offset int64
	data   []byte
}

// nameChange sets a name, removes another one, or does both.
type nameChange struct {
	node    *inode // nil for a removal
	name    string
	removed string
}

// NewVolatile returns an empty Volatile in an existing folder. Its losses are drawn from the seed.
func NewVolatile(folder string, seed uint64) *Volatile {
	return &Volatile{
		folder: folder, rng: rand.New(rand.NewPCG(seed, seed)), names: map[string]*inode{}, durable: map[string]*inode{},
	}
}

// NewProcess returns the files for a process that is killed at its operation of the given number, counted from 0. A
// negative number means that it is killed only by Kill.
func (v *Volatile) NewProcess(killedAt int) *VolatileProcess {
	return &VolatileProcess{disk: v, left: killedAt, limited: killedAt >= 0}
}

// LosePower undoes unsynced changes: each change of a name, and each write, is kept or lost independently, and a write
// may be torn. In one loss of three all of them are lost. All processes must have been killed before.
func (v *Volatile) LosePower() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := v.rng.IntN(3) == 0
	for _, c := range v.changes {
		if !all && v.rng.IntN(2) == 0 {
			c.apply(v.durable)
		}
	}
	v.changes = nil
	v.names = map[string]*inode{}
	for name, n := range v.durable {
		n.losePower(v.rng, all)
		v.names[name] = n
	}
	return v.rewrite()
}

// rewrite makes the real folder hold the current files.
func (v *Volatile) rewrite() error {
	list, err := os.ReadDir(v.folder)
	if err != nil {
		return err
	}
	for _, f := range list {
		if err := os.Remove(filepath.Join(v.folder, f.Name())); err != nil {
			return err
		}
	}
	for name, n := range v.names {
		if err := os.WriteFile(filepath.Join(v.folder, name), n.data, fileMode); err != nil {
			return err
		}
	}
	return nil
}

func (c nameChange) apply(names map[string]*inode) {
	if c.removed != "" {
		delete(names, c.removed)
	}
	if c.node != nil {
		names[c.name] = c.node
	}
}

func (n *inode) losePower(rng *rand.Rand, all bool) {
	n.data = n.synced
	for _, w := range n.writes {
		if all || rng.IntN(2) == 0 {
			continue
		}
		if len(w.data) > 0 && rng.IntN(3) == 0 {
			w.data = slices.Clone(w.data)
			from := rng.IntN(len(w.data))
			clear(w.data[from : from+1+rng.IntN(len(w.data)-from)])
		}
		n.apply(w)
	}
	n.sync()
}

func (n *inode) sync() { n.synced, n.writes = n.data, nil }

// apply changes the data. It keeps the old slice, which may be the synced one.
func (n *inode) apply(w write) {
	size := max(int64(len(n.data)), w.offset+int64(len(w.data)))
	if w.data == nil {
		size = w.offset
	}
	data := make([]byte, size)
	copy(data, n.data)
	copy(data[w.offset:], w.data)
	n.data = data
}

// VolatileProcess is the view of one process on a Volatile. It implements Files.
type VolatileProcess struct {
	disk    *Volatile
	limited bool
	left    int // operations until the process is killed, if limited
	killed  bool
}

// Kill ends the process. What it has written stays.
func (p *VolatileProcess) Kill() {
	p.disk.mu.Lock()
	defer p.disk.mu.Unlock()
	p.killed = true
}

// IsKilled reports whether the process is killed.
func (p *VolatileProcess) IsKilled() bool {
	p.disk.mu.Lock()
	defer p.disk.mu.Unlock()
	return p.killed
}

// do runs one operation on the disk, unless the process is killed.
func (p *VolatileProcess) do(run func() error) error {
	p.disk.mu.Lock()
	defer p.disk.mu.Unlock()
	if p.killed || p.limited && p.left == 0 {
		p.killed = true
		return ErrKilled
	}
	p.left--
	return run()
}

func (p *VolatileProcess) changeName(c nameChange) {
	c.apply(p.disk.names)
	p.disk.changes = append(p.disk.changes, c)
}

// Open implements Files.
func (p *VolatileProcess) Open(path string, flag int) (File, error) {
	f := &volatileFile{process: p, path: path}
	return f, p.do(func() error {
		name := filepath.Base(path)
		f.node = p.disk.names[name]
		if f.node == nil && flag&os.O_CREATE == 0 {
			return &os.PathError{Op: "open", Path: path, Err: os.ErrNotExist}
		}
		if f.node == nil {
			f.node = &inode{}
			p.changeName(nameChange{node: f.node, name: name})
		}
		if flag&os.O_TRUNC != 0 {
			return f.change(write{})
		}
		return nil
	})
}

// Rename implements Files.
func (p *VolatileProcess) Rename(from, to string) error {
	return p.do(func() error {
		n := p.disk.names[filepath.Base(from)]
		if n == nil {
			return &os.LinkError{Op: "rename", Old: from, New: to, Err: os.ErrNotExist}
		}
		p.changeName(nameChange{node: n, name: filepath.Base(to), removed: filepath.Base(from)})
		return os.Rename(from, to)
	})
}

// Remove implements Files.
func (p *VolatileProcess) Remove(path string) error {
	return p.do(func() error {
		p.changeName(nameChange{removed: filepath.Base(path)})
		return os.Remove(path)
	})
}

// MakeFolder implements Files. The folder exists.
func (p *VolatileProcess) MakeFolder(string) error { return p.do(func() error { return nil }) }

// SyncFolder implements Files.
func (p *VolatileProcess) SyncFolder(string) error {
	return p.do(func() error {
		for _, c := range p.disk.changes {
			c.apply(p.disk.durable)
		}
		p.disk.changes = nil
		return nil
	})
}

type volatileFile struct {
	process *VolatileProcess
	path    string
	node    *inode
	offset  int64
}

// change writes to the inode and to the real file, if the inode still has that name.
func (f *volatileFile) change(w write) error {
	f.node.apply(w)
	f.node.writes = append(f.node.writes, w)
	if f.process.disk.names[filepath.Base(f.path)] != f.node {
		return nil
	}
	return os.WriteFile(f.path, f.node.data, fileMode)
}

func (f *volatileFile) Write(data []byte) (int, error) {
	err := f.process.do(func() error {
		defer func() { f.offset += int64(len(data)) }()
		return f.change(write{f.offset, slices.Clone(data)})
	})
	if err != nil {
		return 0, err
	}
	return len(data), nil
}

func (f *volatileFile) Seek(offset int64, whence int) (int64, error) {
	if whence != io.SeekStart {
		return 0, errors.New("only seeks from the start are supported")
	}
	f.offset = offset
	return offset, nil
}

func (f *volatileFile) Truncate(size int64) error {
	return f.process.do(func() error {
		if size == int64(len(f.node.data)) {
			return nil
		}
		return f.change(write{offset: size})
	})
}

func (f *volatileFile) Sync() error {
	return f.process.do(func() error {
		f.node.sync()
		return nil
	})
}

func (f *volatileFile) Stat() (os.FileInfo, error) { return os.Stat(f.path) }

func (f *volatileFile) Close() error { return nil }
