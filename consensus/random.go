package consensus

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"go.etcd.io/bbolt"
)

// randomID is a random number other than 0.
func randomID() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// boltOptions has a second process on the same folder told so, not kept waiting.
func boltOptions() *bbolt.Options { return &bbolt.Options{Timeout: time.Second} }
