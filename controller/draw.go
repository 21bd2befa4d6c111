package controller

import (
	"crypto/rand"
	"encoding/binary"
)

// draw is a number that no other process draws.
func draw() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}
