package sentids

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
)

// An ID can be claimed once, until its claim is released or it is the oldest of more than the table holds.
func TestClaim(t *testing.T) {
	t.Parallel()
	table := New()
	first, ok := table.Claim("a")
	if !ok {
		t.Fatal("the first claim failed")
	}
	if _, ok := table.Claim("a"); ok {
		t.Error("a second claim succeeded")
	}
	table.Release(first)
	if _, ok := table.Claim("a"); !ok {
		t.Error("a claim after the release failed")
	}
	table.Release(first) // of a slot that is free by now
	for i := range slots - 2 {
		table.Claim(strconv.Itoa(i))
	}
	if _, ok := table.Claim("a"); ok {
		t.Error("the ID is forgotten too early")
	}
	table.Claim("b")
	table.Claim("c")
	if _, ok := table.Claim("a"); !ok {
		t.Error("the oldest ID is not forgotten")
	}
}

// Of two tables on one file, at most one claims an ID.
func TestSharedTable(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	var tables [2]*Table
	for i := range tables {
		var err error
		if tables[i], err = Open(dir, "n0"); err != nil {
			t.Fatal(err)
		}
		defer tables[i].Close()
	}
	if other, err := Open(dir, "n1"); err != nil {
		t.Fatal(err)
	} else if _, ok := other.Claim("a"); !ok {
		t.Error("another node's table has the ID")
	}
	const ids = 300
	var claims [ids]atomic.Int64
	var running sync.WaitGroup
	for _, table := range tables {
		running.Go(func() {
			for i := range ids {
				if _, ok := table.Claim(strconv.Itoa(i)); ok {
					claims[i].Add(1)
				}
			}
		})
	}
	running.Wait()
	claimed := 0
	for i := range claims {
		if n := claims[i].Load(); n > 1 {
			t.Errorf("ID %d was claimed %d times", i, n)
		} else if n == 1 {
			claimed++
		}
	}
	if claimed < ids/2 {
		t.Errorf("%d of %d IDs were claimed", claimed, ids)
	}
}
