package modelcheck

import "sync/atomic"

// Mutex is a sync.Mutex whose operations the checker schedules.
type Mutex struct{ locked bool }

// Lock waits until the mutex is unlocked and locks it.
func (m *Mutex) Lock() {
	beforeOperation(m, true, "lock", func() bool { return !m.locked })
	m.locked = true
}

// Unlock unlocks the mutex and panics if it is not locked.
func (m *Mutex) Unlock() {
	beforeOperation(m, true, "unlock", nil)
	if !m.locked {
		panic("unlock of unlocked mutex")
	}
	m.locked = false
}

// RWMutex is a sync.RWMutex whose operations the checker schedules. Unlike in package sync, a waiting writer does not block new
// readers.
type RWMutex struct {
	readers int
	writer  bool
}

// Lock waits until there are no readers and no writer, and locks for writing.
func (m *RWMutex) Lock() {
	beforeOperation(m, true, "lock", func() bool { return !m.writer && m.readers == 0 })
	m.writer = true
}

// Unlock releases the lock for writing.
func (m *RWMutex) Unlock() {
	beforeOperation(m, true, "unlock", nil)
	m.writer = false
}

// RLock waits until there is no writer, and locks for reading.
func (m *RWMutex) RLock() {
	beforeOperation(m, true, "read-lock", func() bool { return !m.writer })
	m.readers++
}

// RUnlock releases one lock for reading.
func (m *RWMutex) RUnlock() {
	beforeOperation(m, true, "read-unlock", nil)
	m.readers--
}

// Bool is an atomic.Bool whose operations the checker schedules.
type Bool struct{ value atomic.Bool }

// Load returns the value.
func (b *Bool) Load() bool {
	beforeOperation(b, false, "load", nil)
	return b.value.Load()
}

// Store sets the value.
func (b *Bool) Store(value bool) {
	beforeOperation(b, true, "store", nil)
	b.value.Store(value)
}

// CompareAndSwap sets the value if it equals old, and reports whether it did.
func (b *Bool) CompareAndSwap(old, value bool) bool {
	beforeOperation(b, true, "compare-and-swap", nil)
	return b.value.CompareAndSwap(old, value)
}

// Int64 is an atomic.Int64 whose operations the checker schedules.
type Int64 struct{ value atomic.Int64 }

// Load returns the value.
func (i *Int64) Load() int64 {
	beforeOperation(i, false, "load", nil)
	return i.value.Load()
}

// Store sets the value.
func (i *Int64) Store(value int64) {
	beforeOperation(i, true, "store", nil)
	i.value.Store(value)
}

// Add adds delta and returns the new value.
func (i *Int64) Add(delta int64) int64 {
	beforeOperation(i, true, "add", nil)
	return i.value.Add(delta)
}

// Pointer is an atomic.Pointer whose operations the checker schedules.
type Pointer[T any] struct{ value atomic.Pointer[T] }

// Load returns the value.
func (p *Pointer[T]) Load() *T {
	beforeOperation(p, false, "load", nil)
	return p.value.Load()
}

// Store sets the value.
func (p *Pointer[T]) Store(value *T) {
	beforeOperation(p, true, "store", nil)
	p.value.Store(value)
}

// Swap sets the value and returns the old one.
func (p *Pointer[T]) Swap(value *T) *T {
	beforeOperation(p, true, "swap", nil)
	return p.value.Swap(value)
}
