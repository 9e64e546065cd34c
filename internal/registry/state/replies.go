package state

// maxReplies is the number of results that are kept for repeated writes.
const maxReplies = 1 << 16

// replies holds the results of the latest writes with an ID, which are returned to repeated writes.
type replies struct {
	results map[string]Result // by the ID of the write
	order   []string          // IDs, the oldest first
}

func newReplies() replies { return replies{results: map[string]Result{}} }

func (r *replies) get(id string) (Result, bool) {
	result, found := r.results[id]
	return result, found
}

// add stores a result, and drops the oldest one if there are more than maxReplies.
func (r *replies) add(id string, result Result) {
	r.results[id] = result
	r.order = append(r.order, id)
	if len(r.order) > maxReplies {
		delete(r.results, r.order[0])
		r.order = r.order[1:]
	}
}
