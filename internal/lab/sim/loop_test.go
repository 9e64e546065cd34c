package sim

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Timers run once, in the order of their times, and Now returns the timer's time while it runs. A stopped timer does not run.
func TestTimerOrder(t *testing.T) {
	const until = 15
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		var got []int
		type scheduled struct{ at, id int }
		var timers []scheduled
		for id, at := range rapid.SliceOf(rapid.IntRange(0, 20)).Draw(t, "times") {
			timer := l.At(time.Duration(at), func() {
				if l.Now() != time.Duration(at) {
					t.Fatalf("scheduled for %d, ran at %v", at, l.Now())
				}
				got = append(got, id)
			})
			if rapid.Bool().Draw(t, "stop") {
				l.Stop(timer)
				l.Stop(timer) // stopping a stopped timer does nothing
				continue
			}
			timers = append(timers, scheduled{at, id})
		}
		slices.SortStableFunc(timers, func(a, b scheduled) int { return cmp.Compare(a.at, b.at) })
		var want []int
		for _, timer := range timers {
			if timer.at <= until {
				want = append(want, timer.id)
			}
		}
		if err := l.RunVirtual(context.Background(), until); err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("ran %v, want %v", got, want)
		}
	})
}

// On the machine's clock no timer runs before its time, and posted functions run only until the loop has ended.
func TestRunReal(t *testing.T) {
	l := New()
	posted, early := false, false
	l.At(5*time.Millisecond, func() { early = l.Elapsed() < 5*time.Millisecond })
	go l.Post(func() { posted = true })
	l.At(10*time.Second, func() { t.Error("a timer ran after the loop had ended") })
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
		t.Errorf("RunReal returned %v, want context.Canceled", err)
	}
	if early || !posted {
		t.Errorf("a timer ran early: %v, want false; a posted function ran: %v, want true", early, posted)
	}
	l.Post(func() { t.Error("a posted function ran after the loop had ended") })
}
