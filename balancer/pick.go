package balancer

// selectEndpoint picks one of the candidates for the next attempt of a request. It returns nil if
// there are none.
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

// pick applies the power of two choices: one endpoint is drawn uniformly from each group, and the
// one with fewer active attempts is picked. If both have the same number, the endpoint of the first
// group is picked, except that idle endpoints are picked with probabilities proportional to the
// sizes of their groups. If one group is empty, the endpoint drawn from the other is picked.
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

// draw returns a uniformly drawn endpoint of a group, or nil if the group is empty.
func (b *Balancer) draw(group []*endpoint) *endpoint {
	if len(group) == 0 {
		return nil
	}
	return group[b.random.IntN(len(group))]
}
