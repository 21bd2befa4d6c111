package controller

// backends gives each backend that the list names a small index, and takes it back some time after the backend has gone:
// then another may have it.
type backends struct {
	index map[string]int
	ids   []string
	names [][]byte // ids as they go onto streams
	gone  []int64  // since when the list lacks it; 0 while it is there
	free  []int
	swept int64
}

func newBackends() *backends { return &backends{index: map[string]int{}} }

// take gives the index of a backend, a new one if need be. There are as many as the bound says, at most.
func (b *backends) take(id string, name []byte, most int) (index int, ok bool) {
	if index, ok = b.index[id]; ok {
		return index, true
	}
	if n := len(b.free); n > 0 {
		index, b.free = b.free[n-1], b.free[:n-1]
	} else if index = len(b.ids); index >= most {
		return 0, false
	} else {
		b.ids, b.names, b.gone = append(b.ids, ""), append(b.names, nil), append(b.gone, 0)
	}
	b.index[id], b.ids[index], b.names[index] = index, id, name
	return index, true
}

// sweep forgets those that have been gone for some time, if everybody else can; it looks once in that time's tenth.
func (b *backends) sweep(now, keep int64, forget func(index int) bool) (forgotten int) {
	if now-b.swept < keep/10 {
		return 0
	}
	b.swept = now
	for index, since := range b.gone {
		if since == 0 || now-since < keep || b.ids[index] == "" || !forget(index) {
			continue
		}
		delete(b.index, b.ids[index])
		b.ids[index], b.names[index], b.gone[index] = "", nil, 0
		b.free = append(b.free, index)
		forgotten++
	}
	return forgotten
}
