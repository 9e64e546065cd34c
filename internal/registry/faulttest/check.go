package faulttest

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// maxLinearizabilityCheck limits the time of porcupine's search.
const maxLinearizabilityCheck = 20 * time.Second

// maxListedViolations is the number of violations that a result lists; the others are only counted.
const maxListedViolations = 5

// input and output describe an operation on one instance for porcupine.
type (
	input struct {
		uid           string
		write         bool
		value         float64
		ifModRevision int64 // zero for an unconditional write
	}
	output struct {
		responded   bool // if false, the operation may be applied at any time after its call, or never
		code        state.Code
		value       float64
		modRevision int64
	}
)

// unknownRevision is the modification revision of an instance before its first operation and after a write without a response.
const unknownRevision = -1

// instanceState is the state of an instance in the model.
type instanceState struct {
	value       float64
	modRevision int64
}

// mayHaveRevision reports whether the instance can have this modification revision.
func (s instanceState) mayHaveRevision(revision int64) bool {
	return s.modRevision == revision || s.modRevision == unknownRevision
}

// instanceModel is the sequential specification of an instance.
var instanceModel = porcupine.Model{
	Partition:         partitionByUID,
	Init:              func() any { return instanceState{0, unknownRevision} },
	Step:              func(s, in, out any) (bool, any) { return stepInstance(s.(instanceState), in.(input), out.(output)) },
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// partitionByUID splits operations by instance, because instances are independent of each other.
func partitionByUID(ops []porcupine.Operation) [][]porcupine.Operation {
	byUID := map[string][]porcupine.Operation{}
	for _, op := range ops {
		key := op.Input.(input).uid
		byUID[key] = append(byUID[key], op)
	}
	var parts [][]porcupine.Operation
	for key := range keyCount {
		parts = append(parts, byUID[uid(key)])
	}
	return parts
}

// stepInstance reports whether an operation on an instance can have this output, and returns the state after it.
func stepInstance(s instanceState, in input, result output) (bool, instanceState) {
	applies := in.ifModRevision == 0 || s.mayHaveRevision(in.ifModRevision)
	switch {
	case !in.write:
		return s.value == result.value && s.mayHaveRevision(result.modRevision), instanceState{result.value, result.modRevision}
	case !result.responded && applies:
		return true, instanceState{in.value, unknownRevision}
	case !result.responded:
		return true, s
	case result.code == state.CodeConflict:
		return in.ifModRevision != 0 && (s.modRevision != in.ifModRevision || s.modRevision == unknownRevision), s
	}
	return applies, instanceState{in.value, result.modRevision}
}

// check adds the counts and violations of the history to a result. final is the registry's list at the end of the run, or nil
// if it is unknown.
func (h *history) check(res *Result, final *api.WatchEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	res.Writes, res.UnknownWrites, res.Reads, res.WatchEvents = h.writes, h.unknownWrites, h.reads, len(h.views)
	switch porcupine.CheckOperationsTimeout(instanceModel, h.ops, maxLinearizabilityCheck) {
	case porcupine.Illegal:
		res.Violations = append(res.Violations, "writes and consistent reads are not linearizable")
	case porcupine.Unknown:
		res.Violations = append(res.Violations, "the check for linearizability did not finish in time")
	}
	for _, v := range h.views {
		res.Violations = append(res.Violations, h.viewViolations(v)...)
	}
	if final != nil {
		res.Violations = append(res.Violations, h.finalViolations(final)...)
	}
	res.Violations = append(res.Violations, h.violations...)
	if more := len(res.Violations) - maxListedViolations; more > 0 {
		res.Violations = append(res.Violations[:maxListedViolations], fmt.Sprintf("and %d more", more))
	}
}

// viewViolations finds acknowledged writes that are missing from a view although its revision is not lower than theirs, and
// instances whose modification revision is higher than the revision of the view.
func (h *history) viewViolations(v client.View) (found []string) {
	revisions := map[string]int64{}
	for _, e := range v.Instances {
		revisions[e.UID] = e.ModRevision
		if e.ModRevision > v.Revision {
			found = append(found, fmt.Sprintf("a watcher at revision %d has %s at the later revision %d", v.Revision, e.UID, e.ModRevision))
		}
	}
	for _, w := range h.acknowledged {
		if w.modRevision <= v.Revision && revisions[w.uid] < w.modRevision {
			found = append(found, fmt.Sprintf("a watcher at revision %d has missed the write of %s at %d", v.Revision, w.uid, w.modRevision))
		}
	}
	return found
}

// finalViolations returns a violation if a watcher reached the revision of final, the registry's list, with a different list.
func (h *history) finalViolations(final *api.WatchEvent) []string {
	data, err := json.Marshal(final.Instances)
	if held, known := h.lists[final.Revision]; err != nil || known && held != string(data) {
		return []string{fmt.Sprintf("the registry and a watcher have different lists at revision %d", final.Revision)}
	}
	return nil
}
