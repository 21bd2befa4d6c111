package controller

import (
	"crypto/rand"
	"encoding/binary"
)

// randomID returns a random 64-bit number, which serves as an identifier that no other process has.
func randomID() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}
