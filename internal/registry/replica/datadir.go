package replica

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Files of a replica's data folder. Beside them raft keeps its snapshots in a folder of its own.
const (
	logFile = "log.db"
	// logMarkerFile says that the folder's log was created.
	logMarkerFile = "begun"
)

// checkLogPresent fails if the log of a data folder was created before and is gone. A replica that went on without it would
// have forgotten whom it voted for and which entries it had acknowledged.
func checkLogPresent(dataDir string) error {
	if _, err := os.Stat(filepath.Join(dataDir, logMarkerFile)); errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	path := filepath.Join(dataDir, logFile)
	info, err := os.Stat(path)
	if err == nil && info.Size() == 0 {
		err = errors.New("it is empty")
	}
	if err != nil {
		return fmt.Errorf("%s: the log was created before and is missing: take this replica out, empty its folder and add it again: %w", path, err)
	}
	return nil
}
