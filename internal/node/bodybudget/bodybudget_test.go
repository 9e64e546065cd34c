package bodybudget

import (
	"testing"

	"umberbank/internal/node/nodetest"
)

// A body waits for capacity. Responses and bodies of uncountedBytes do not wait for requests.
func TestBudget(t *testing.T) {
	t.Parallel()
	b := New(2 * MaxBufferedBytes)
	release, err := b.Requests.Reserve(t.Context(), -1)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan error, 1)
	go func() {
		releaseNext, err := b.Requests.Reserve(t.Context(), MaxBufferedBytes)
		if err == nil {
			releaseNext()
		}
		got <- err
	}()
	if releaseResponse, err := b.Responses.Reserve(t.Context(), MaxBodyBytes); err != nil {
		t.Error(err)
	} else {
		releaseResponse()
	}
	if releaseSmall, err := b.Requests.Reserve(t.Context(), uncountedBytes); err != nil {
		t.Error(err)
	} else {
		releaseSmall()
	}
	select {
	case err := <-got:
		t.Errorf("Reserve returned without capacity: %v", err)
	default:
	}
	release()
	if err := nodetest.Wait(t, got); err != nil {
		t.Error(err)
	}
}
