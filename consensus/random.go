package consensus

import (
	"crypto/rand"
	"encoding/binary"
)

// randomID is a random number other than 0.
func randomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}
