package durable

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// replaceFile writes a file under a temporary name, syncs it, renames it to path and syncs the directory. The file at path has
// either its previous content or the complete new content.
func replaceFile(fsys FS, path, temporary string, content []byte) error {
	if err := writeSynced(fsys, temporary, content); err != nil {
		return err
	}
	if err := fsys.Rename(temporary, path); err != nil {
		_ = fsys.Remove(temporary) // if this fails, the next Open of a Store removes the file
		return err
	}
	return fsys.SyncDir(filepath.Dir(path))
}

// writeSynced writes a new file and syncs it. After an error, it tries to remove the file.
func writeSynced(fsys FS, name string, content []byte) error {
	f, err := createNew(fsys, name)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = fsys.Remove(name) // if this fails, the next Open of a Store removes the file
	}
	return err
}

// createNew creates a file. It replaces a file that an earlier attempt could not remove.
func createNew(fsys FS, name string) (File, error) {
	f, err := fsys.Create(name)
	if !errors.Is(err, fs.ErrExist) {
		return f, err
	}
	if err := fsys.Remove(name); err != nil {
		return nil, err
	}
	return fsys.Create(name)
}

// WriteFile atomically replaces a file with a snapshot. The snapshot is durable when WriteFile returns nil. After an error, the
// file holds either the old snapshot or the new one. If several processes write the same file, the last one wins.
func WriteFile(path string, s Snapshot) error {
	content, err := Encode(s)
	if err != nil {
		return err
	}
	return replaceFile(OS, path, fmt.Sprintf("%s.%d%s", path, os.Getpid(), temporarySuffix), content)
}

// ReadFile reads a snapshot file of any kind that WriteFile or a Store has written. Errors about the content include the path
// and wrap those of Decode.
func ReadFile(path string) (Snapshot, error) {
	content, err := OS.ReadFile(path)
	if err != nil {
		return Snapshot{}, err
	}
	s, err := Decode(content)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}
