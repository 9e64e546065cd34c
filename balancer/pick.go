package balancer

// selectEndpoint picks one of the candidates for the next attempt of a request; nil: there is none.
func (b *Balancer) selectEndpoint(r *request) *endpoint {
	var first, second []*endpoint
	for _, e := range b.candidates(r) {
		if e.secondGroup {
			second = append(second, e)
		} else {
			first = append(first, e)
		}
	}
	return b.pick(first, second)
}

// pick is the two-choice rule: one endpoint is drawn uniformly from each group and the one with fewer
// active attempts is picked. Equal counts above zero go to the first group; at zero the group is drawn by
// the groups' sizes. If a group is empty, the draw from the other decides.
func (b *Balancer) pick(first, second []*endpoint) *endpoint {
	if len(first) == 0 || len(second) == 0 {
		return b.draw(append(first, second...))
	}
	x, y := b.draw(first), b.draw(second)
	switch {
	case x.activeAttempts < y.activeAttempts:
		return x
	case y.activeAttempts < x.activeAttempts:
		return y
	case x.activeAttempts > 0:
		return x
	case b.random.IntN(len(first)+len(second)) < len(first):
		return x
	}
	return y
}

// draw returns a uniformly drawn endpoint of a group; nil: the group is empty.
func (b *Balancer) draw(group []*endpoint) *endpoint {
	if len(group) == 0 {
		return nil
	}
	return group[b.random.IntN(len(group))]
}
