package modelcheck

import "sync/atomic"

// Mutex is a sync.Mutex under the checker.
type Mutex struct{ locked bool }

// Lock waits until nobody holds it, and holds it.
func (m *Mutex) Lock() {
	point(m, true, "lock", func() bool { return !m.locked })
	m.locked = true
}

// Unlock lets it go.
func (m *Mutex) Unlock() {
	point(m, true, "unlock", nil)
	if !m.locked {
		panic("unlock of a mutex that nobody holds")
	}
	m.locked = false
}

// RWMutex is a sync.RWMutex under the checker, but that readers come before a writer that waits.
type RWMutex struct {
	readers int
	writer  bool
}

// Lock waits until nobody holds it, and holds it alone.
func (m *RWMutex) Lock() {
	point(m, true, "lock", func() bool { return !m.writer && m.readers == 0 })
	m.writer = true
}

// Unlock lets it go.
func (m *RWMutex) Unlock() {
	point(m, true, "unlock", nil)
	m.writer = false
}

// RLock waits until no writer holds it, and holds it beside other readers.
func (m *RWMutex) RLock() {
	point(m, true, "read-lock", func() bool { return !m.writer })
	m.readers++
}

// RUnlock lets it go.
func (m *RWMutex) RUnlock() {
	point(m, true, "read-unlock", nil)
	m.readers--
}

// Bool is an atomic.Bool under the checker.
type Bool struct{ v atomic.Bool }

// Load reads it.
func (b *Bool) Load() bool { point(b, false, "load", nil); return b.v.Load() }

// Store writes it.
func (b *Bool) Store(v bool) { point(b, true, "store", nil); b.v.Store(v) }

// CompareAndSwap writes it if it is old.
func (b *Bool) CompareAndSwap(old, v bool) bool {
	point(b, true, "compare-and-swap", nil)
	return b.v.CompareAndSwap(old, v)
}

// Int64 is an atomic.Int64 under the checker.
type Int64 struct{ v atomic.Int64 }

// Load reads it.
func (i *Int64) Load() int64 { point(i, false, "load", nil); return i.v.Load() }

// Store writes it.
func (i *Int64) Store(v int64) { point(i, true, "store", nil); i.v.Store(v) }

// Add adds to it.
func (i *Int64) Add(d int64) int64 { point(i, true, "add", nil); return i.v.Add(d) }

// Pointer is an atomic.Pointer under the checker.
type Pointer[T any] struct{ v atomic.Pointer[T] }

// Load reads it.
func (p *Pointer[T]) Load() *T { point(p, false, "load", nil); return p.v.Load() }

// Store writes it.
func (p *Pointer[T]) Store(v *T) { point(p, true, "store", nil); p.v.Store(v) }

// Swap writes it and gives what it was.
func (p *Pointer[T]) Swap(v *T) *T { point(p, true, "swap", nil); return p.v.Swap(v) }
