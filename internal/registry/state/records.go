package state

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// Record is a JSON value stored under a key. Releases are stored as records.
type Record struct {
	Key         string          `json:"key"`
	ModRevision int64           `json:"mod"` // revision of its last change
	Value       json.RawMessage `json:"value"`
}

// HaltKeyPrefix is the prefix of the key of a record that halts a release. The name of the release's plan follows it. While
// the record exists, no further permit of the release can begin.
const HaltKeyPrefix = "halt/"

// Record returns the record under a key, or nil if there is none.
func (s *State) Record(key string) *Record { return s.records[key] }

// Records returns the records whose keys have a prefix, in ascending order of their keys.
func (s *State) Records(prefix string) []*Record {
	records := []*Record{}
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		if strings.HasPrefix(key, prefix) {
			records = append(records, s.records[key])
		}
	}
	return records
}

func (s *State) putRecord(op Op) Result {
	old := s.records[op.Key]
	isDelete := len(op.Value) == 0
	switch {
	case op.Key == "" || len(op.Key) > maxText || !isDelete && !op.hasValidValue():
		return Result{Code: CodeInvalid}
	case op.IfModRevision == Absent && old != nil, op.IfModRevision > 0 && (old == nil || old.ModRevision != op.IfModRevision):
		return Result{Code: CodeConflict}
	case isDelete && old == nil:
		return Result{Code: CodeNotFound}
	}
	s.revision++
	if isDelete {
		delete(s.records, op.Key)
	} else {
		s.records[op.Key] = &Record{Key: op.Key, ModRevision: s.revision, Value: op.Value}
	}
	return Result{}
}
