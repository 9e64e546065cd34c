package bodybudget

import (
	"testing"

	"umberbank/internal/node/nodetest"
)

// Bodies wait for capacity, and responses never wait for requests.
func TestBudget(t *testing.T) {
	t.Parallel()
	b := New(2 * MaxBufferedBytes)
	release, err := b.Requests.Reserve(t.Context(), -1)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan error, 1)
	go func() {
		again, err := b.Requests.Reserve(t.Context(), MaxBufferedBytes)
		if err == nil {
			again()
		}
		got <- err
	}()
	if free, err := b.Responses.Reserve(t.Context(), MaxBodyBytes); err != nil {
		t.Error(err)
	} else {
		free()
	}
	if small, err := b.Requests.Reserve(t.Context(), uncountedBytes); err != nil {
		t.Error(err)
	} else {
		small()
	}
	select {
	case err := <-got:
		t.Errorf("more is held than there is capacity for: %v", err)
	default:
	}
	release()
	if err := nodetest.Wait(t, got); err != nil {
		t.Error(err)
	}
}
