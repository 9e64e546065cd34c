// Package faultfs is a file system in memory that fails as disks and power do. What was not synced may be lost, torn or
// kept, each by itself and in any order; a sync that failed once lets go of what it should have written, as Linux
// does, although the next one succeeds.
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

// ErrCrashed is what every call gets once the power is gone.
var ErrCrashed = errors.New("faultfs: the power is gone")

// inode is a file's content, by now and on the disk.
type inode struct {
	now, disk []byte
	dirty     bool
}

// dirOp is a change of a folder that is not synced.
type dirOp struct {
	dir, name string
	to        *inode // nil: it is gone
}

// FS is a durable.FS. Crash after so many steps, or fail one of them; -1: never. Reading is no step.
type FS struct {
	CrashAt int
	FailAt  int
	Fail    error // what step FailAt returns
	Steps   int

	names   map[string]*inode // by path, as processes see them
	disk    map[string]*inode // and as they are on the disk
	pending []dirOp
	locked  map[string]bool
}

var _ durable.FS = (*FS)(nil)

// New returns an empty FS without faults.
func New() *FS {
	return &FS{CrashAt: -1, FailAt: -1, Fail: syscall.EIO, names: map[string]*inode{}, disk: map[string]*inode{}, locked: map[string]bool{}}
}

// step counts a step and says how it fails.
func (f *FS) step() error {
	at := f.Steps
	f.Steps++
	switch {
	case f.CrashAt >= 0 && at >= f.CrashAt:
		return ErrCrashed
	case at == f.FailAt:
		return f.Fail
	}
	return nil
}

// MkdirAll does nothing: folders are there.
func (f *FS) MkdirAll(string) error { return f.step() }

func (f *FS) set(path string, to *inode) {
	if to == nil {
		delete(f.names, path)
	} else {
		f.names[path] = to
	}
	f.pending = append(f.pending, dirOp{filepath.Dir(path), path, to})
}

// Create makes a file.
func (f *FS) Create(name string) (durable.File, error) {
	if err := f.step(); err != nil {
		return nil, err
	}
	if f.names[name] != nil {
		return nil, fs.ErrExist
	}
	n := &inode{}
	f.set(name, n)
	return &file{f, n}, nil
}

// Rename moves a file over whatever has the name.
func (f *FS) Rename(from, to string) error {
	if err := f.step(); err != nil {
		return err
	}
	n := f.names[from]
	if n == nil {
		return fs.ErrNotExist
	}
	f.set(to, n)
	f.set(from, nil)
	return nil
}

// Remove takes a name away.
func (f *FS) Remove(name string) error {
	if err := f.step(); err != nil {
		return err
	}
	if f.names[name] == nil {
		return fs.ErrNotExist
	}
	f.set(name, nil)
	return nil
}

// SyncDir makes the changes of a folder last.
func (f *FS) SyncDir(dir string) error {
	if err := f.step(); err != nil {
		return err
	}
	f.pending = slices.DeleteFunc(f.pending, func(o dirOp) bool {
		if o.dir == dir {
			apply(f.disk, o)
		}
		return o.dir == dir
	})
	return nil
}

func apply(m map[string]*inode, o dirOp) {
	if o.to == nil {
		delete(m, o.name)
	} else {
		m[o.name] = o.to
	}
}

// ReadDir names the files.
func (f *FS) ReadDir(dir string) (l []string, err error) {
	for name := range f.names {
		if filepath.Dir(name) == dir {
			l = append(l, filepath.Base(name))
		}
	}
	slices.Sort(l)
	return l, nil
}

// ReadFile reads a file.
func (f *FS) ReadFile(name string) ([]byte, error) {
	n := f.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.now), nil
}

// Put puts a file on the disk, whatever is in it.
func (f *FS) Put(name string, text []byte) {
	n := &inode{now: slices.Clone(text), disk: slices.Clone(text)}
	f.names[name], f.disk[name] = n, n
}

// Lock takes a lock until the power goes or it is closed.
func (f *FS) Lock(name string) (io.Closer, error) {
	if err := f.step(); err != nil {
		return nil, err
	}
	if f.locked[name] {
		return nil, durable.ErrInUse
	}
	f.locked[name] = true
	return unlock(func() { f.locked[name] = false }), nil
}

type unlock func()

func (u unlock) Close() error { u(); return nil }

// file is one that is open for writing.
type file struct {
	f *FS
	n *inode
}

// Write adds to the file. When it fails, half may have come.
func (w *file) Write(p []byte) (int, error) {
	err := w.f.step()
	n := len(p)
	if err != nil {
		n /= 2
	}
	if !errors.Is(err, ErrCrashed) {
		w.n.now, w.n.dirty = append(w.n.now, p[:n]...), true
	}
	return n, err
}

// Sync makes what was written last. When it fails that is let go, and the next one has nothing to do.
func (w *file) Sync() error {
	err := w.f.step()
	if errors.Is(err, ErrCrashed) {
		return err
	}
	if err == nil && w.n.dirty {
		w.n.disk = slices.Clone(w.n.now)
	}
	w.n.dirty = false
	return err
}

func (w *file) Close() error { return w.f.step() }

// Ways a file that was not synced may look after the power went.
const (
	lost  = iota // as it last was on the disk
	half         // the first half of what was added since has come
	holes        // all of its length, and zeros for the first half of that
	kept         // all of it
	ways
)

func (n *inode) after(way int) []byte {
	if !n.dirty {
		return n.disk
	}
	switch way {
	case lost:
		return n.disk
	case half:
		return n.now[:(len(n.disk)+len(n.now))/2]
	case holes:
		b := slices.Clone(n.now)
		clear(b[len(n.disk) : (len(n.disk)+len(b))/2])
		return b
	}
	return n.now
}

// Outcomes calls do with every state in which the disk may be after the power went now: each change of a folder that was not
// synced has come or not, and files that were not synced look in one of four ways.
func (f *FS) Outcomes(do func(after *FS)) {
	for mask := range 1 << len(f.pending) {
		disk := map[string]*inode{}
		for name, n := range f.disk {
			disk[name] = n
		}
		for i, o := range f.pending {
			if mask>>i&1 == 1 {
				apply(disk, o)
			}
		}
		for way := range ways {
			next := New()
			dirty := false
			for name, n := range disk {
				next.Put(name, n.after(way))
				dirty = dirty || n.dirty
			}
			do(next)
			if !dirty {
				break // the ways are all the same
			}
		}
	}
}

// String lists the files.
func (f *FS) String() string {
	var l []string
	for name, n := range f.names {
		l = append(l, name+" "+strings.Repeat("x", min(8, len(n.now))))
	}
	slices.Sort(l)
	return strings.Join(l, ", ")
}
