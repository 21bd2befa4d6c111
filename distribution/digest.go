package distribution

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest is a running sum over the live entries of some scopes, independent of their order: two nodes with the same
// digest have the same entries, values, revisions and times of acceptance. It guards against faults, not against
// forgery; members are authenticated by the connections that carry the messages.
type Digest struct {
	// High is the sum of the entries' hashes with one seed.
	High uint64 `cbor:"1,keyasint,omitempty"`
	// Low is the sum of their hashes with another seed.
	Low uint64 `cbor:"2,keyasint,omitempty"`
}

// Seeds of the two halves, so that they are independent of each other.
const (
	highSeed = 1
	lowSeed  = 2
)

func (d Digest) add(other Digest) Digest { return Digest{d.High + other.High, d.Low + other.Low} }

func (d Digest) subtract(other Digest) Digest { return Digest{d.High - other.High, d.Low - other.Low} }

// entryDigest is one entry's part of a digest: nothing for a tombstone.
func entryDigest(entry Entry) Digest {
	if entry.Deleted {
		return Digest{}
	}
	framed := make([]byte, 0, entry.size())
	framed = binary.AppendUvarint(framed, uint64(len(entry.Scope)))
	framed = append(framed, entry.Scope...)
	framed = binary.AppendUvarint(framed, uint64(len(entry.Name)))
	framed = append(framed, entry.Name...)
	framed = binary.AppendUvarint(framed, uint64(len(entry.Value)))
	framed = append(framed, entry.Value...)
	framed = binary.AppendUvarint(framed, entry.Revision)
	framed = binary.AppendVarint(framed, entry.AcceptedAt)
	return Digest{seededHash(framed, highSeed), seededHash(framed, lowSeed)}
}

func seededHash(framed []byte, seed uint64) uint64 {
	hash := xxhash.NewWithSeed(seed)
	_, _ = hash.Write(framed) // never fails
	return hash.Sum64()
}
