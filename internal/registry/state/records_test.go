package state

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestRecordsByPrefix(t *testing.T) {
	s := New()
	for _, k := range []string{"b/1", "a/2", "a/1"} {
		s.Apply(Op{Kind: OpPutRecord, Key: k, Value: json.RawMessage(`{}`)})
	}
	var keys []string
	for _, r := range s.Records("a/") {
		keys = append(keys, r.Key)
	}
	if strings.Join(keys, " ") != "a/1 a/2" {
		t.Errorf("keys %v, want a/1 and a/2", keys)
	}
}
