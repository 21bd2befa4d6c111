// Package intake bounds the memory that the connections of a process use together for messages that
// they receive.
//
// A reader acquires a Lease for the memory of a message before it reads the message, and releases it
// when the message is handled. Readers wait for memory in the order in which they ask for it. While
// a reader waits, leases are revoked whose message is not complete although its bytes had time to
// arrive, so that peers which stop within a message cannot keep others waiting.
package intake

import (
	"errors"
	"slices"
	"sync"
	"time"
)

const (
	// stallTime is the time without any byte after which an incomplete message may be given up.
	stallTime = 100 * time.Millisecond
	// maxReadTime is the time after which an incomplete message may be given up although bytes of it
	// still arrive.
	maxReadTime = time.Second
	// checkInterval is the time between two searches for leases to revoke, while a reader waits.
	checkInterval = 20 * time.Millisecond
)

// Errors of Acquire.
var (
	// ErrTooLarge means that a message needs more memory than all messages together may have.
	ErrTooLarge = errors.New("intake: the message needs more memory than there is")
	// ErrStopped means that the reader stopped waiting.
	ErrStopped = errors.New("intake: the reader no longer waits")
)

// Memory is an amount of memory that leases share. It is safe for concurrent use.
type Memory struct {
	total int64

	mutex   sync.Mutex // guards the fields below
	free    int64
	leases  []*Lease  // leases that are not released, oldest first
	waiting []*waiter // readers that wait for memory, in the order of their calls
}

// waiter is a reader that waits for memory.
type waiter struct {
	lease   *Lease
	granted chan struct{} // closed when the lease is granted
}

// Lease is a part of a Memory that one message may use.
type Lease struct {
	memory *Memory
	size   int64
	revoke func()

	// The fields below are guarded by the mutex of the Memory.

	grantedAt  time.Time
	progressAt time.Time // time at which bytes of the message last arrived
	complete   bool      // all bytes of the message have arrived
	revoked    bool
	released   bool
}

// NewMemory returns a Memory of a number of bytes.
func NewMemory(bytes int64) *Memory { return &Memory{total: bytes, free: bytes} }

// Total returns the number of bytes that all leases together may have.
func (m *Memory) Total() int64 { return m.total }

// Acquire waits until a number of bytes is free, and returns a lease for them. It returns ErrTooLarge
// if there are never so many bytes, and ErrStopped if done is closed first. revoke is called, once
// at most, if the message has to be given up; it has to end the reading of the message.
func (m *Memory) Acquire(bytes int64, done <-chan struct{}, revoke func()) (*Lease, error) {
	if bytes > m.total {
		return nil, ErrTooLarge
	}
	request := &waiter{lease: &Lease{memory: m, size: bytes, revoke: revoke}, granted: make(chan struct{})}
	m.mutex.Lock()
	m.waiting = append(m.waiting, request)
	m.grant()
	m.mutex.Unlock()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case <-request.granted:
			return request.lease, nil
		default:
		}
		select {
		case <-request.granted:
			return request.lease, nil
		case <-done:
			m.cancel(request)
			return nil, ErrStopped
		case now := <-check.C:
			m.revokeStalled(now)
		}
	}
}

// grant grants leases to waiting readers, as far as there is memory. The caller holds the mutex.
func (m *Memory) grant() {
	for len(m.waiting) > 0 && m.waiting[0].lease.size <= m.free {
		request := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.free -= request.lease.size
		request.lease.grantedAt = time.Now()
		request.lease.progressAt = request.lease.grantedAt
		m.leases = append(m.leases, request.lease)
		close(request.granted)
	}
}

// cancel removes a reader that no longer waits, and releases its lease if it was just granted.
func (m *Memory) cancel(request *waiter) {
	m.mutex.Lock()
	m.waiting = slices.DeleteFunc(m.waiting, func(other *waiter) bool { return other == request })
	m.grant()
	m.mutex.Unlock()
	select {
	case <-request.granted:
		request.lease.Release()
	default:
	}
}

// revokeStalled revokes leases of incomplete messages for the reader that has waited longest: those
// without progress for the longest time first, and no more than it needs.
func (m *Memory) revokeStalled(now time.Time) {
	m.mutex.Lock()
	var revoked []*Lease
	if len(m.waiting) > 0 {
		revoked = m.chooseStalled(m.waiting[0].lease.size, now)
	}
	m.mutex.Unlock()
	for _, lease := range revoked {
		lease.revoke()
	}
}

// chooseStalled marks the leases that are to be revoked so that a number of bytes becomes free. The
// caller holds the mutex.
func (m *Memory) chooseStalled(needed int64, now time.Time) (chosen []*Lease) {
	available := m.free
	var stalled []*Lease
	for _, lease := range m.leases {
		switch {
		case lease.revoked:
			available += lease.size
		case lease.stalled(now):
			stalled = append(stalled, lease)
		}
	}
	slices.SortStableFunc(stalled, func(x, y *Lease) int { return x.progressAt.Compare(y.progressAt) })
	for _, lease := range stalled {
		if available >= needed {
			break
		}
		lease.revoked = true
		available += lease.size
		chosen = append(chosen, lease)
	}
	return chosen
}

// stalled reports whether the bytes of an incomplete message had time to arrive.
func (l *Lease) stalled(now time.Time) bool {
	return !l.complete && (now.Sub(l.progressAt) >= stallTime || now.Sub(l.grantedAt) >= maxReadTime)
}

// Progress notes that bytes of the message have arrived.
func (l *Lease) Progress() {
	l.memory.mutex.Lock()
	defer l.memory.mutex.Unlock()
	l.progressAt = time.Now()
}

// Complete notes that all bytes of the message have arrived, and reports whether the lease was not
// revoked before. From then on it is not revoked.
func (l *Lease) Complete() bool {
	l.memory.mutex.Lock()
	defer l.memory.mutex.Unlock()
	l.complete = true
	return !l.revoked
}

// Revoked reports whether the lease was revoked. A nil lease was not.
func (l *Lease) Revoked() bool {
	if l == nil {
		return false
	}
	l.memory.mutex.Lock()
	defer l.memory.mutex.Unlock()
	return l.revoked
}

// Release returns the memory. Further calls have no effect, nor has a call on a nil lease.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.memory.mutex.Lock()
	defer l.memory.mutex.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.memory.free += l.size
	l.memory.leases = slices.DeleteFunc(l.memory.leases, func(other *Lease) bool { return other == l })
	l.memory.grant()
}
