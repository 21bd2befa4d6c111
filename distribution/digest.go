package distribution

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest is a sum of hashes over the entries of some scopes that are not tombstones. The sum can be
// updated entry by entry and does not depend on the order of the entries: two nodes with the same
// digest have the same entries, values, revisions and times of acceptance. A digest guards against
// faults, not against forgery; members are authenticated by the connections that carry the
// messages.
type Digest struct {
	// High is the sum of the hashes of the entries with highSeed.
	High uint64 `cbor:"1,keyasint,omitempty"`
	// Low is the sum of the hashes of the entries with lowSeed.
	Low uint64 `cbor:"2,keyasint,omitempty"`
}

// Different seeds make the two halves of a digest independent of each other.
const (
	highSeed = 1
	lowSeed  = 2
)

func (d Digest) add(other Digest) Digest { return Digest{d.High + other.High, d.Low + other.Low} }

func (d Digest) subtract(other Digest) Digest { return Digest{d.High - other.High, d.Low - other.Low} }

// entryDigest returns the contribution of one entry to a digest; zero for a tombstone.
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
	_, _ = hash.Write(framed) // Write of a hash never returns an error
	return hash.Sum64()
}
