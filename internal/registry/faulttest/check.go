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

// maxLinearizabilityCheck bounds porcupine's search.
const maxLinearizabilityCheck = 20 * time.Second

// maxListedViolations is how many violations a result lists one by one.
const maxListedViolations = 5

// input and output are those of an operation on one instance, for porcupine.
type (
	input struct {
		uid           string
		write         bool
		value         float64
		ifModRevision int64 // 0: whatever it is
	}
	output struct {
		known       bool // false: no answer came; the operation may be carried out at any time from its call on, or never
		code        state.Code
		value       float64
		modRevision int64
	}
)

// unknownRevision is the revision of an instance after a write without an answer.
const unknownRevision = -1

// instanceState is an instance as porcupine follows it.
type instanceState struct {
	value       float64
	modRevision int64
}

// hasRevision says whether the instance may be of a revision.
func (s instanceState) hasRevision(revision int64) bool {
	return s.modRevision == revision || s.modRevision == unknownRevision
}

// model is what one instance may do.
var model = porcupine.Model{
	Partition:         partitionByUID,
	Init:              func() any { return instanceState{0, unknownRevision} },
	Step:              func(s, in, out any) (bool, any) { return stepInstance(s.(instanceState), in.(input), out.(output)) },
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// partitionByUID splits operations by instance, as instances do not depend on each other.
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

// stepInstance says whether an operation on an instance may have had this output, and what the instance is afterwards.
func stepInstance(s instanceState, in input, result output) (bool, instanceState) {
	applies := in.ifModRevision == 0 || s.hasRevision(in.ifModRevision)
	switch {
	case !in.write:
		return s.value == result.value && s.hasRevision(result.modRevision), instanceState{result.value, result.modRevision}
	case !result.known && applies:
		return true, instanceState{in.value, unknownRevision}
	case !result.known:
		return true, s
	case result.code == state.CodeConflict:
		return in.ifModRevision != 0 && (s.modRevision != in.ifModRevision || s.modRevision == unknownRevision), s
	}
	return applies, instanceState{in.value, result.modRevision}
}

// check completes a result by what was seen. final is the registry's list in the end; nil: it is not known.
func (h *history) check(res *Result, final *api.WatchEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	res.Writes, res.UnknownWrites, res.Reads, res.WatchEvents = h.writes, h.unanswered, h.reads, len(h.views)
	switch porcupine.CheckOperationsTimeout(model, h.ops, maxLinearizabilityCheck) {
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

// viewViolations finds acknowledged writes that a watcher passed without seeing, and instances that are later than its list.
func (h *history) viewViolations(v client.View) (found []string) {
	revisions := map[string]int64{}
	for _, e := range v.Instances {
		revisions[e.UID] = e.ModRevision
		if e.ModRevision > v.Revision {
			found = append(found, fmt.Sprintf("a watcher at revision %d holds %s of %d", v.Revision, e.UID, e.ModRevision))
		}
	}
	for _, w := range h.acknowledged {
		if w.modRevision <= v.Revision && revisions[w.uid] < w.modRevision {
			found = append(found, fmt.Sprintf("a watcher at revision %d has missed the write of %s at %d", v.Revision, w.uid, w.modRevision))
		}
	}
	return found
}

// finalViolations finds that a watcher held another list at the registry's last revision.
func (h *history) finalViolations(final *api.WatchEvent) []string {
	text, err := json.Marshal(final.Instances)
	if held, known := h.lists[final.Revision]; err != nil || known && held != string(text) {
		return []string{fmt.Sprintf("at revision %d the registry and a watcher hold different lists", final.Revision)}
	}
	return nil
}
