package replica

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Files in the data directory of a replica. Raft keeps its snapshots in a subdirectory.
const (
	logFile = "log.db"
	// logMarkerFile exists once the log of the directory has been created.
	logMarkerFile = "begun"
)

// checkLogPresent returns an error if the log of a data directory was created before and is now missing or empty. A replica
// that continued without it would have lost its votes and the entries that it had acknowledged.
func checkLogPresent(dataDir string) error {
	if _, err := os.Stat(filepath.Join(dataDir, logMarkerFile)); errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	path := filepath.Join(dataDir, logFile)
	info, err := os.Stat(path)
	if err == nil && info.Size() == 0 {
		err = errors.New("file is empty")
	}
	if err != nil {
		return fmt.Errorf("%s: log was created before and is now missing or empty; remove this replica from the cluster, empty its data directory and add it again: %w", path, err)
	}
	return nil
}
