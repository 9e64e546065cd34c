package durable

import (
	"errors"
	"io"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// FS is what a folder's files are reached through; tests put faults there. Names are paths.
type FS interface {
	MkdirAll(dir string) error
	Create(name string) (File, error) // fails if there is one
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error // makes renames, creations and removals in it last
	ReadDir(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Lock takes a lock that the system frees however a process ends; ErrInUse: another has it.
	Lock(name string) (io.Closer, error)
}

// File is one that is written.
type File interface {
	io.WriteCloser
	Sync() error
}

// ErrInUse says that another process keeps its state in the folder.
var ErrInUse = errors.New("another process keeps its state there")

// OS is the machine's files.
var OS FS = machine{}

type machine struct{}

func (machine) MkdirAll(dir string) error            { return os.MkdirAll(dir, 0o700) }
func (machine) Rename(from, to string) error         { return os.Rename(from, to) }
func (machine) Remove(name string) error             { return os.Remove(name) }
func (machine) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

func (machine) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

func (machine) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

func (machine) ReadDir(dir string) ([]string, error) {
	l, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range l {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func (machine) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrInUse
		}
		return nil, err
	}
	return f, nil
}
