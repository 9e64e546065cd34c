// Package faultfs is an in-memory file system that fails as disks and power supplies do, for tests of package durable.
//
// What was not synced may be lost, torn or kept, each file and each directory entry by itself and in any order. A sync that
// failed drops what it should have written although the next one succeeds, as Linux does. Every call except reads is a step;
// a step can be made to fail, or to be the first one after a power loss. An FS is for one goroutine.
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
var ErrPowerLost = errors.New("faultfs: the power is gone")

// Never as CrashAt or FailAt means that the fault does not occur.
const Never = -1

// FS is a durable.FS in memory. Set its faults before the first step.
type FS struct {
	CrashAt int   // index of the first step after the power loss
	FailAt  int   // index of the step that fails
	FailErr error // what step FailAt returns
	Steps   int   // steps taken so far

	visible map[string]*inode // by path, as processes see the files
	onDisk  map[string]*inode // by path, as a power loss now would leave the directories at the least
	pending []dirChange       // changes of directories that were not synced
	locked  map[string]bool
}

var _ durable.FS = (*FS)(nil)

// inode is the content of a file.
type inode struct {
	current []byte // as processes see it
	synced  []byte // as it is on the disk for certain
	dirty   bool   // it was written since the last sync
}

// dirChange is a change of a directory that was not synced.
type dirChange struct {
	dir, path string
	target    *inode // nil: the entry is removed
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

// step counts a step and returns the error it fails with.
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

// change changes a directory entry, for processes at once and on the disk with the next SyncDir.
func (f *FS) change(path string, target *inode) {
	c := dirChange{dir: filepath.Dir(path), path: path, target: target}
	c.applyTo(f.visible)
	f.pending = append(f.pending, c)
}

// MkdirAll only counts as a step: every directory exists.
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

// Rename moves a file, replacing the one that has the new name.
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

// Put places a file on the disk, synced. It is no step.
func (f *FS) Put(name string, content []byte) {
	n := &inode{current: slices.Clone(content), synced: slices.Clone(content)}
	f.visible[name], f.onDisk[name] = n, n
}

// Lock takes a lock, which lasts until it is closed or the power is lost.
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

// unlocker is a function that releases a lock.
type unlocker func()

// Close releases the lock.
func (u unlocker) Close() error { u(); return nil }

// String lists the files with a mark for each byte, up to eight.
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

// Write appends to the file. When it fails the first half was written, unless the power is gone.
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

// Sync makes what was written durable. When it fails that is dropped, and the next Sync has nothing to do.
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
