package sim

import (
	"context"
	"errors"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever is planned, also from within, runs once and in the order of times; what is stopped does not.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		var want, got []int
		type plan struct{ at, id int }
		var plans []plan
		for id, at := range rapid.SliceOf(rapid.IntRange(0, 20)).Draw(t, "times") {
			at, id := at, id
			tm := l.At(time.Duration(at), func() {
				if l.Now() != time.Duration(at) {
					t.Fatalf("planned for %d, ran at %v", at, l.Now())
				}
				got = append(got, id)
			})
			if rapid.Bool().Draw(t, "stop") {
				l.Stop(tm)
				l.Stop(tm) // twice is none too many
				continue
			}
			plans = append(plans, plan{at, id})
		}
		sort.SliceStable(plans, func(a, b int) bool { return plans[a].at < plans[b].at })
		for _, p := range plans {
			if p.at <= 15 {
				want = append(want, p.id)
			}
		}
		if err := l.RunVirtual(context.Background(), 15); err != nil {
			t.Fatal(err)
		}
		if len(got) != len(want) {
			t.Fatalf("ran %v, want %v", got, want)
		}
		for i := range got {
			if got[i] != want[i] {
				t.Fatalf("ran %v, want %v", got, want)
			}
		}
	})
}

// On the machine's clock nothing runs before its time, and what is posted runs.
func TestReal(t *testing.T) {
	l := New()
	posted, early := false, false
	l.At(5*time.Millisecond, func() { early = l.Elapsed() < 5*time.Millisecond })
	go l.Post(func() { posted = true })
	l.At(10*time.Second, func() { t.Error("ran though the loop had ended") })
	ctx, cancel := context.WithCancel(t.Context())
	var check func()
	check = func() {
		if posted {
			cancel()
			return
		}
		l.After(time.Millisecond, check)
	}
	l.After(10*time.Millisecond, check)
	if err := l.RunReal(ctx, 20*time.Second); !errors.Is(err, context.Canceled) {
		t.Errorf("ended with %v", err)
	}
	if early || !posted {
		t.Errorf("early %v, posted %v", early, posted)
	}
	l.Post(func() { t.Error("ran after the end") })
}
