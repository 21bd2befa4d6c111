package consensus

import (
	"crypto/rand"
	"encoding/binary"
)

// randomID returns a random odd number, which is therefore never 0.
func randomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // Read of crypto/rand never returns an error
	return binary.BigEndian.Uint64(b[:]) | 1
}
