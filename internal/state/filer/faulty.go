package filer

import "errors"

// Operation is a kind of file operation.
type Operation int

// The operations that a Faulty may fail.
const (
	OpOpen Operation = iota
	OpWrite
	OpTruncate
	OpSync
	OpRename
	OpRemove
	OpMakeFolder
	OpSyncFolder
)

// String returns the name of the operation.
func (o Operation) String() string {
	return [...]string{"open", "write", "truncate", "sync", "rename", "remove", "make folder", "sync folder"}[o]
}

// ErrSkip makes a sync succeed without effect. It speeds up tests that lose no power.
var ErrSkip = errors.New("sync is skipped")

// Faulty passes operations to Files unless Fault returns an error for them. It serves tests of failing disks.
type Faulty struct {
	Files Files
	// Fault is called before each operation. It must be safe for concurrent use. A write that fails leaves half of
	// its bytes in the file.
	Fault func(op Operation, path string) error
}

// Open implements Files.
func (d Faulty) Open(path string, flag int) (File, error) {
	if err := d.Fault(OpOpen, path); err != nil {
		return nil, err
	}
	f, err := d.Files.Open(path, flag)
	if err != nil {
		return nil, err
	}
	return faultyFile{File: f, disk: d, path: path}, nil
}

// Rename implements Files.
func (d Faulty) Rename(from, to string) error {
	if err := d.Fault(OpRename, to); err != nil {
		return err
	}
	return d.Files.Rename(from, to)
}

// Remove implements Files.
func (d Faulty) Remove(path string) error {
	if err := d.Fault(OpRemove, path); err != nil {
		return err
	}
	return d.Files.Remove(path)
}

// MakeFolder implements Files.
func (d Faulty) MakeFolder(path string) error {
	if err := d.Fault(OpMakeFolder, path); err != nil {
		return err
	}
	return d.Files.MakeFolder(path)
}

// SyncFolder implements Files.
func (d Faulty) SyncFolder(path string) error {
	err := d.Fault(OpSyncFolder, path)
	if err == nil {
		return d.Files.SyncFolder(path)
	}
	return unlessSkipped(err)
}

type faultyFile struct {
	File
	disk Faulty
	path string
}

func (f faultyFile) Write(data []byte) (int, error) {
	fault := f.disk.Fault(OpWrite, f.path)
	if fault == nil {
		return f.File.Write(data)
	}
	n, err := f.File.Write(data[:len(data)/2])
	if err == nil {
		err = fault
	}
	return n, err
}

func (f faultyFile) Truncate(size int64) error {
	if err := f.disk.Fault(OpTruncate, f.path); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

func (f faultyFile) Sync() error {
	err := f.disk.Fault(OpSync, f.path)
	if err == nil {
		return f.File.Sync()
	}
	return unlessSkipped(err)
}

func unlessSkipped(err error) error {
	if errors.Is(err, ErrSkip) {
		return nil
	}
	return err
}
