package durable

import (
	"errors"
	"io"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// FS is the file system that Store, Load and Replay use. Tests inject faults through it. All arguments that name
// files are paths.
type FS interface {
	// MkdirAll creates a directory and its parents unless they exist.
	MkdirAll(dir string) error
	// Create creates a file for writing and fails with fs.ErrExist if the file exists.
	Create(name string) (File, error)
	// Rename renames a file and replaces an existing file with the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncDir makes earlier creations, renames and removals in a directory durable.
	SyncDir(dir string) error
	// ReadDir lists the names of the regular files in a directory, without the directory's path.
	ReadDir(dir string) ([]string, error)
	// ReadFile returns a file's content.
	ReadFile(name string) ([]byte, error)
	// Lock takes an exclusive lock that the system releases when the process ends. It fails with ErrInUse if the
	// lock is held.
	Lock(name string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.WriteCloser
	// Sync makes what was written durable.
	Sync() error
}

// ErrInUse is returned if the lock on a directory is held, by another process or by another Store of this process.
var ErrInUse = errors.New("another process keeps its state there")

// OS is the operating system's file system.
var OS FS = osFS{}

// osFS implements FS with package os.
type osFS struct{}

// Permissions of created files and directories. Only the owner may read the state.
const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// MkdirAll implements FS.
func (osFS) MkdirAll(dir string) error { return os.MkdirAll(dir, directoryMode) }

// Rename implements FS.
func (osFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (osFS) Remove(name string) error { return os.Remove(name) }

// ReadFile implements FS.
func (osFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create implements FS.
func (osFS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
}

// SyncDir implements FS with fsync of the directory.
func (osFS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// ReadDir implements FS.
func (osFS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Lock implements FS with flock.
func (osFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close() // the error of Flock is the one to report
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrInUse
		}
		return nil, err
	}
	return f, nil
}
