package distribution

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest is a running sum over the live entries of some scopes, independent of their order: two nodes with the same
// digest have the same entries, values, revisions and times of acceptance. It guards against faults, not against
// forgery; members are authenticated by the connections that carry the messages.
type Digest struct {
	High uint64 `cbor:"1,keyasint,omitempty"`
	Low  uint64 `cbor:"2,keyasint,omitempty"`
}

// Seeds of the two halves, so that they are independent of each other.
const (
	highSeed = 1
	lowSeed  = 2
)

func (d Digest) add(other Digest) Digest { return Digest{d.High + other.High, d.Low + other.Low} }

func (d Digest) subtract(other Digest) Digest { return Digest{d.High - other.High, d.Low - other.Low} }

// entryDigest is one entry's part of a digest: nothing for a tombstone.
func entryDigest(e Entry) Digest {
	if e.Deleted {
		return Digest{}
	}
	framed := make([]byte, 0, e.size())
	framed = binary.AppendUvarint(framed, uint64(len(e.Scope)))
	framed = append(framed, e.Scope...)
	framed = binary.AppendUvarint(framed, uint64(len(e.Name)))
	framed = append(framed, e.Name...)
	framed = binary.AppendUvarint(framed, uint64(len(e.Value)))
	framed = append(framed, e.Value...)
	framed = binary.AppendUvarint(framed, e.Revision)
	framed = binary.AppendVarint(framed, e.AcceptedAt)
	return Digest{seededHash(framed, highSeed), seededHash(framed, lowSeed)}
}

func seededHash(framed []byte, seed uint64) uint64 {
	hash := xxhash.NewWithSeed(seed)
	_, _ = hash.Write(framed) // never fails
	return hash.Sum64()
}
