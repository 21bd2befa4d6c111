package controller

// backendIndex assigns a small index to each listed backend. Some time after the list has dropped
// the backend, the index is free again for another one. The event loop owns it.
type backendIndex struct {
	index     map[string]int // by backend id
	ids       []string       // by index: the backend id; empty if the index is free
	names     [][]byte       // by index: the id as encoded in messages, a JSON string
	removedAt []microseconds // by index: time at which the list dropped the backend; 0 while it is listed
	free      []int          // free indices
	sweptAt   microseconds   // time of the last sweep
}

func newBackendIndex() *backendIndex { return &backendIndex{index: map[string]int{}} }

// assign returns the index of a backend, and assigns one to a new backend. It returns false if no
// index is free and limit indices are in use.
func (b *backendIndex) assign(id string, name []byte, limit int) (index int, ok bool) {
	if index, ok = b.index[id]; ok {
		return index, true
	}
	switch free := len(b.free); {
	case free > 0:
		index, b.free = b.free[free-1], b.free[:free-1]
	case len(b.ids) < limit:
		index = len(b.ids)
		b.ids, b.names, b.removedAt = append(b.ids, ""), append(b.names, nil), append(b.removedAt, 0)
	default:
		return 0, false
	}
	b.index[id], b.ids[index], b.names[index] = index, id, name
	return index, true
}

// updateListed records which backends are in an endpoint list. listed has an entry for each of its
// backends, which is false if the list has the backend as removed. A full list drops all backends
// that it does not contain.
func (b *backendIndex) updateListed(listed map[int]bool, full bool, now microseconds) {
	for backend, since := range b.removedAt {
		present, named := listed[backend]
		switch {
		case present:
			b.removedAt[backend] = 0
		case since == 0 && (named || full):
			b.removedAt[backend] = now
		}
	}
}

// sweep frees the indices of backends that were dropped at least keep ago, if forget has discarded
// their state. Calls within a tenth of keep after the last sweep do nothing.
func (b *backendIndex) sweep(now, keep microseconds, forget func(index int) bool) (forgotten int) {
	if now-b.sweptAt < keep/10 {
		return 0
	}
	b.sweptAt = now
	for index, since := range b.removedAt {
		if since == 0 || now-since < keep || b.ids[index] == "" || !forget(index) {
			continue
		}
		delete(b.index, b.ids[index])
		b.ids[index], b.names[index], b.removedAt[index] = "", nil, 0
		b.free = append(b.free, index)
		forgotten++
	}
	return forgotten
}
