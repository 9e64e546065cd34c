// Package faultfs provides an in-memory file system that simulates disk errors and power loss, for tests of package durable.
//
// A power loss may drop or keep each unsynced change of a directory independently. It may drop, tear or keep unsynced data, in
// the same way for all files; see ForEachPowerLoss. After a failed sync, the next sync succeeds without writing the data, as on
// Linux, unless the file is written again in between: then it also writes the earlier data. Every call except reads, Put and the
// release of a lock counts as a step. A step can be made to fail, or to be the first one after a power loss. An FS must not be
// used by several goroutines.
package faultfs

import (
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"umberbank/internal/durable"
)

// ErrPowerLost is returned by every step from CrashAt on.
var ErrPowerLost = errors.New("faultfs: power lost")

// Never is the value of CrashAt or FailAt if the fault does not occur.
const Never = -1

// FS is an in-memory durable.FS. A fault must be set before the step that it affects.
type FS struct {
	CrashAt int   // index of the first step after the power loss
	FailAt  int   // index of the step that fails
	FailErr error // error that step FailAt returns
	Steps   int   // number of steps so far

	visible map[string]*inode // by path, as processes see the files
	onDisk  map[string]*inode // by path, as the directories are on the disk without the pending changes
	pending []dirChange       // directory changes that were not synced
	locked  map[string]bool
}

var _ durable.FS = (*FS)(nil)

// inode is the content of a file.
type inode struct {
	current []byte // as processes see it
	synced  []byte // content of the last sync, which a power loss keeps
	dirty   bool   // written since the last sync
}

// dirChange is a change of a directory entry that was not synced.
type dirChange struct {
	dir, path string
	target    *inode // nil if the entry is removed
}

func (c dirChange) applyTo(files map[string]*inode) {
	if c.target == nil {
		delete(files, c.path)
	} else {
		files[c.path] = c.target
	}
}

// New returns an empty FS without faults.
func New() *FS {
	return &FS{
		CrashAt: Never,
		FailAt:  Never,
		FailErr: syscall.EIO,
		visible: map[string]*inode{},
		onDisk:  map[string]*inode{},
		locked:  map[string]bool{},
	}
}

// step counts a step and returns the error it fails with, or nil.
func (f *FS) step() error {
	index := f.Steps
	f.Steps++
	switch {
	case f.CrashAt >= 0 && index >= f.CrashAt:
		return ErrPowerLost
	case index == f.FailAt:
		return f.FailErr
	}
	return nil
}

// change changes a directory entry. Processes see the change immediately. The next SyncDir makes it durable.
func (f *FS) change(path string, target *inode) {
	c := dirChange{dir: filepath.Dir(path), path: path, target: target}
	c.applyTo(f.visible)
	f.pending = append(f.pending, c)
}

// MkdirAll only counts as a step, because every directory exists.
func (f *FS) MkdirAll(string) error { return f.step() }

// Create creates an empty file.
func (f *FS) Create(name string) (durable.File, error) {
	if err := f.step(); err != nil {
		return nil, err
	}
	if f.visible[name] != nil {
		return nil, fs.ErrExist
	}
	n := &inode{}
	f.change(name, n)
	return &file{fs: f, inode: n}, nil
}

// Rename renames a file and replaces an existing file with the new name.
func (f *FS) Rename(from, to string) error {
	if err := f.step(); err != nil {
		return err
	}
	n := f.visible[from]
	if n == nil {
		return fs.ErrNotExist
	}
	f.change(to, n)
	f.change(from, nil)
	return nil
}

// Remove removes a file.
func (f *FS) Remove(name string) error {
	if err := f.step(); err != nil {
		return err
	}
	if f.visible[name] == nil {
		return fs.ErrNotExist
	}
	f.change(name, nil)
	return nil
}

// SyncDir makes the changes of a directory durable.
func (f *FS) SyncDir(dir string) error {
	if err := f.step(); err != nil {
		return err
	}
	f.pending = slices.DeleteFunc(f.pending, func(c dirChange) bool {
		if c.dir == dir {
			c.applyTo(f.onDisk)
		}
		return c.dir == dir
	})
	return nil
}

// ReadDir lists the names of the files in a directory, sorted.
func (f *FS) ReadDir(dir string) ([]string, error) {
	var names []string
	for path := range f.visible {
		if filepath.Dir(path) == dir {
			names = append(names, filepath.Base(path))
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile returns a file's content.
func (f *FS) ReadFile(name string) ([]byte, error) {
	n := f.visible[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.current), nil
}

// Put stores a synced file. It does not count as a step.
func (f *FS) Put(name string, content []byte) {
	n := &inode{current: slices.Clone(content), synced: slices.Clone(content)}
	f.visible[name], f.onDisk[name] = n, n
}

// Lock takes a lock, which is held until it is closed. The file systems after a power loss hold no locks.
func (f *FS) Lock(name string) (io.Closer, error) {
	if err := f.step(); err != nil {
		return nil, err
	}
	if f.locked[name] {
		return nil, durable.ErrInUse
	}
	f.locked[name] = true
	return unlocker(func() { f.locked[name] = false }), nil
}

// unlocker is an io.Closer that calls a function to release a lock.
type unlocker func()

// Close releases the lock.
func (u unlocker) Close() error { u(); return nil }

// String lists the files, each with one x per byte of its content, up to eight.
func (f *FS) String() string {
	const maxMarks = 8
	var files []string
	for path, n := range f.visible {
		files = append(files, path+" "+strings.Repeat("x", min(maxMarks, len(n.current))))
	}
	slices.Sort(files)
	return strings.Join(files, ", ")
}

// file is a file open for writing.
type file struct {
	fs    *FS
	inode *inode
}

// Write appends to the file. If it fails, the first half of p is written, unless the power is lost.
func (w *file) Write(p []byte) (int, error) {
	err := w.fs.step()
	n := len(p)
	if err != nil {
		n /= 2
	}
	if !errors.Is(err, ErrPowerLost) {
		w.inode.current, w.inode.dirty = append(w.inode.current, p[:n]...), true
	}
	return n, err
}

// Sync makes written data durable. If it fails, the data is not durable, and the next Sync has nothing to write unless Write was
// called in between.
func (w *file) Sync() error {
	err := w.fs.step()
	if errors.Is(err, ErrPowerLost) {
		return err
	}
	if err == nil && w.inode.dirty {
		w.inode.synced = slices.Clone(w.inode.current)
	}
	w.inode.dirty = false
	return err
}

// Close only counts as a step.
func (w *file) Close() error { return w.fs.step() }
