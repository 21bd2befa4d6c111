package controller

// backendIndex assigns a small index to each backend of the endpoint list. Some time after the list
// has dropped a backend, sweep frees the index for another backend. The event loop owns the
// backendIndex.
type backendIndex struct {
	index map[string]int // index of each backend, by backend id
	ids   []string       // backend id of each index; empty if the index is free
	names [][]byte       // backend id of each index as encoded in messages, a JSON string
	// removedAt holds the time at which the endpoint list dropped the backend of each index; 0
	// while the backend is listed.
	removedAt []microseconds
	free      []int        // indices that no backend has
	sweptAt   microseconds // time of the last call of sweep that looked for indices to free
}

func newBackendIndex() *backendIndex { return &backendIndex{index: map[string]int{}} }

// assign returns the index of a backend, and assigns one to a new backend. limit is the maximum
// number of indices. assign returns false if all of them are in use.
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

// updateListed records which backends are in an endpoint list. listed has an entry for each backend
// in the list, which is false if the list marks the backend as removed. A full list also drops all
// backends that it does not contain.
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

// sweep frees the indices of the backends that the endpoint list dropped at least the time keep
// ago. It calls forget for each of these indices, and frees the index only if forget returns true,
// which means that the state of the backend is discarded. A call within a tenth of keep after the
// last sweep does nothing. sweep returns the number of indices that it freed.
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
