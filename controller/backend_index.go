package controller

// backendIndex gives each backend that the list names a small index, and takes it back some time after the backend has been
// removed: then another may have it. The event loop owns it.
type backendIndex struct {
	index     map[string]int // by id
	ids       []string       // by index; empty where the index is free
	names     [][]byte       // by index: the id as it stands in messages, a JSON string
	removedAt []microseconds // by index: since when the list lacks it; 0 while it is listed
	free      []int          // indices that nobody has
	sweptAt   microseconds   // when sweep last looked
}

func newBackendIndex() *backendIndex { return &backendIndex{index: map[string]int{}} }

// assign gives the index of a backend, a new one if need be; not ok where there would be more than limit of them.
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

// noteListed takes in which backends a list names, and whether they are there still; a full list lacks those that it does not name.
func (b *backendIndex) noteListed(listed map[int]bool, full bool, now microseconds) {
	for backend, since := range b.removedAt {
		there, named := listed[backend]
		switch {
		case there:
			b.removedAt[backend] = 0
		case since == 0 && (named || full):
			b.removedAt[backend] = now
		}
	}
}

// sweep forgets backends that were removed longer than keep ago, where forget says that everybody else can; it looks once in a
// tenth of that time.
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
