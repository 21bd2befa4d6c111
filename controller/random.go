package controller

import (
	"crypto/rand"
	"encoding/binary"
)

// randomID is a number that no other process has.
func randomID() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}
