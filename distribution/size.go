package distribution

// Estimated numbers of bytes that the parts of a message take on the wire, apart from the contents
// of strings and values. The estimates only have to be close enough for the bounds on memory and on
// unconfirmed bytes.
const (
	fixedSize   = 16 // bytes for a message or a change without its lists, names, versions and digest
	entrySize   = 24 // bytes for an entry, in addition to its scope, name and value
	versionSize = 24
	digestSize  = 20
	textSize    = 2 // bytes for the length header of a string in a list
)

func textsSize(texts []string) int {
	size := 0
	for _, text := range texts {
		size += textSize + len(text)
	}
	return size
}

func (e Entry) size() int { return entrySize + len(e.Scope) + len(e.Name) + len(e.Value) }

func entriesSize(entries []Entry) int {
	size := 0
	for _, e := range entries {
		size += e.size()
	}
	return size
}

func (c Change) size() int { return fixedSize + entriesSize(c.Entries) }

// Size implements Message.
func (m *Subscribe) Size() int {
	return fixedSize + len(m.Name) + textsSize(m.Scopes.Names) + versionSize + digestSize
}

// Size implements Message.
func (m *Admitted) Size() int {
	return fixedSize + versionSize + textsSize(m.Path) + textsSize(m.Candidates)
}

// Size implements Message.
func (m *Refused) Size() int { return fixedSize + textsSize(m.Candidates) }

// Size implements Message.
func (m *Delta) Size() int {
	size := fixedSize + versionSize + digestSize
	for _, change := range m.Changes {
		size += change.size()
	}
	return size
}

// Size implements Message.
func (m *SnapshotPiece) Size() int {
	return fixedSize + versionSize + digestSize + entriesSize(m.Entries)
}

// Size implements Message.
func (m *Heartbeat) Size() int {
	return fixedSize + 2*versionSize + digestSize + textsSize(m.Path) + textsSize(m.Candidates)
}

// Size implements Message.
func (m *Renew) Size() int { return fixedSize + versionSize }
