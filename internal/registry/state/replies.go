package state

// maxReplies is how many results are remembered for repeated writes.
const maxReplies = 1 << 16

// replies remembers the results of the last writes that had an ID.
type replies struct {
	results map[string]Result // by the writes' IDs
	order   []string          // of the IDs, the oldest first
}

func newReplies() replies { return replies{results: map[string]Result{}} }

func (r *replies) get(id string) (Result, bool) {
	result, found := r.results[id]
	return result, found
}

// add remembers a result, and forgets the oldest if there are too many.
func (r *replies) add(id string, result Result) {
	r.results[id] = result
	r.order = append(r.order, id)
	if len(r.order) > maxReplies {
		delete(r.results, r.order[0])
		r.order = r.order[1:]
	}
}
