package controller

// backendIndex gives each backend that the list names a small index, and takes it back some time after the backend has gone:
// then another may have it.
type backendIndex struct {
	index     map[string]int
	ids       []string
	names     [][]byte // ids as they go onto streams
	removedAt []int64  // since when the list lacks it; 0 while it is there
	free      []int
	sweptAt   int64
}

func newBackends() *backendIndex { return &backendIndex{index: map[string]int{}} }

// assign gives the index of a backend, a new one if need be. There are as many as the bound says, at most.
func (b *backendIndex) assign(id string, name []byte, most int) (index int, ok bool) {
	if index, ok = b.index[id]; ok {
		return index, true
	}
	if n := len(b.free); n > 0 {
		index, b.free = b.free[n-1], b.free[:n-1]
	} else if index = len(b.ids); index >= most {
		return 0, false
	} else {
		b.ids, b.names, b.removedAt = append(b.ids, ""), append(b.names, nil), append(b.removedAt, 0)
	}
	b.index[id], b.ids[index], b.names[index] = index, id, name
	return index, true
}

// sweep forgets those that have been gone for some time, if everybody else can; it looks once in that time's tenth.
func (b *backendIndex) sweep(now, keep int64, forget func(index int) bool) (forgotten int) {
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
