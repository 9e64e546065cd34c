package balancer

import "testing"

// The simulator's protocol carries the tokens of timers, so their format must not change.
func TestTimerTokens(t *testing.T) {
	b := newTestBalancer(t, func(s *Settings) { s.PollDiscovery = true })
	for name, c := range map[string]struct {
		event Event
		want  string
	}{
		"subscribe":       {SubscriptionFailed{}, "list"},
		"pending request": {Request{ID: "a", Class: "get", Deadline: 1500 * ms}, "r:a"},
	} {
		t.Run(name, func(t *testing.T) {
			actions := b.Handle(0, c.event)
			if len(actions) != 1 {
				t.Fatalf("got %v, want one timer", actions)
			}
			if timer, ok := actions[0].(SetTimer); !ok || timer.Token != c.want {
				t.Errorf("got %v, want a timer with the token %q", actions[0], c.want)
			}
		})
	}
}
