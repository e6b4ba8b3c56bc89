// Package filer performs the file operations that may fail for lack of a writable disk.
package filer

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
)

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// File is an open file.
type File interface {
	io.WriteSeeker
	io.Closer
	Truncate(size int64) error
	Sync() error
	Stat() (os.FileInfo, error)
}

// Files changes files and folders.
type Files interface {
	// Open opens or creates a file. flag is as in os.OpenFile.
	Open(path string, flag int) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// MakeFolder creates a folder and its parents unless they exist.
	MakeFolder(path string) error
	// SyncFolder makes the names in a folder durable.
	SyncFolder(path string) error
}

// Disk is the file system of the operating system.
type Disk struct{}

// Open implements Files.
func (Disk) Open(path string, flag int) (File, error) {
	f, err := os.OpenFile(path, flag, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Rename implements Files.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements Files.
func (Disk) Remove(path string) error { return os.Remove(path) }

// MakeFolder implements Files.
func (Disk) MakeFolder(path string) error { return os.MkdirAll(path, folderMode) }

// SyncFolder implements Files.
func (Disk) SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	if err := d.Sync(); err != nil {
		_ = d.Close() // the sync has failed already
		return err
	}
	return d.Close()
}

// MakeFolder creates a folder and its parents unless they exist, and makes their names durable.
func MakeFolder(files Files, path string) error {
	var missing []string
	for p := filepath.Clean(path); ; p = filepath.Dir(p) {
		if _, err := os.Stat(p); !errors.Is(err, fs.ErrNotExist) {
			break // another error is that of Files.MakeFolder too
		}
		missing = append(missing, p)
	}
	if err := files.MakeFolder(path); err != nil {
		return err
	}
	for _, p := range slices.Backward(missing) {
		if err := files.SyncFolder(filepath.Dir(p)); err != nil {
			return err
		}
	}
	return nil
}
