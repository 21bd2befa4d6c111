package distribution

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// keyWriter encodes the fields in which two states of the model can differ.
type keyWriter []byte

func (k *keyWriter) numbers(numbers ...int64) {
	for _, number := range numbers {
		*k = binary.LittleEndian.AppendUint64(*k, uint64(number))
	}
}

func (k *keyWriter) bits(bits ...bool) {
	for _, bit := range bits {
		if bit {
			*k = append(*k, 1)
		} else {
			*k = append(*k, 0)
		}
	}
}

func (k *keyWriter) texts(texts ...string) {
	k.numbers(int64(len(texts)))
	for _, text := range texts {
		k.numbers(int64(len(text)))
		*k = append(*k, text...)
	}
}

func (k *keyWriter) version(version Version) {
	k.numbers(int64(version.Epoch.Number), int64(version.Epoch.Identity), int64(version.Revision))
}

// key returns a hash of the state of the model. Times are hashed relative to the current time, so
// equal states that are reached at different times have the same key.
func (c *cluster) key() uint64 {
	var k keyWriter
	k.version(Version{c.epoch, uint64(len(c.record))})
	k.numbers(int64(len(c.members)), int64(len(c.cuts)))
	for _, a := range c.members {
		for _, b := range c.members {
			k.bits(c.cuts[namePair(a, b)])
		}
	}
	for _, m := range c.members {
		k.numbers(int64(m.recordPosition))
		k.version(m.config.Floor)
		k.version(m.highestVersion)
		k.texts(m.config.Scopes.Names...)
		m.node.addKey(&k, c.now)
	}
	for _, conn := range c.conns {
		k.texts(conn.dialer.config.Name, conn.acceptor.config.Name)
		k.bits(conn.closed[:]...)
		for _, queue := range conn.queues {
			k.numbers(int64(len(queue)))
			for _, message := range queue {
				k.numbers(c.messageKey(message))
			}
		}
	}
	return xxhash.Sum64(k)
}

// messageKey returns a hash of a message. Messages are never modified, so each hash is computed
// once.
func (c *cluster) messageKey(m Message) int64 {
	if key, known := c.messageKeys[m]; known {
		return key
	}
	key := int64(xxhash.Sum64(fmt.Appendf(nil, "%T%+v", m, m)))
	c.messageKeys[m] = key
	return key
}

// addKey adds to the key the fields that determine the behaviour of a node. Times are relative to
// now; all times that lie eight modelSteps or more in the past count as equal.
func (n *Node) addKey(k *keyWriter, now int64) {
	since := func(at int64) int64 { return min((now-at)/modelStep, 8) }
	until := func(at int64) int64 { return max(at-now, 0) }
	s := n.store
	k.version(s.version)
	k.texts(s.covered.Names...)
	k.numbers(int64(s.digest.High), int64(s.log.floor), int64(s.tombstones.horizon), int64(len(s.tombstones.queue)))
	for _, tombstone := range s.tombstones.queue {
		k.numbers(int64(tombstone.revision))
	}
	k.numbers(int64(len(s.log.changes)))
	for _, change := range s.log.changes {
		k.numbers(int64(change.change.Revision), int64(change.previous))
		k.bits(change.merged)
	}
	k.bits(n.contentInDoubt, n.sourceEverCurrent, n.consecutiveFailures > 0, n.incomingSnapshot != nil, n.parent != nil)
	k.numbers(until(n.nextDialAt), since(n.sourceCurrentAt),
		int64(len(n.unsubscribedLinks)), int64(len(n.children)), int64(len(n.attempts)))
	if n.incomingSnapshot != nil {
		k.version(n.incomingSnapshot.store.version)
		k.numbers(int64(n.incomingSnapshot.nextIndex))
	}
	for _, place := range append(slices.Clone(n.attempts), n.parent) {
		if place == nil {
			continue
		}
		k.texts(place.peer)
		k.texts(place.path...)
		k.bits(place.connected, place.subscribing, place.behind)
		k.numbers(since(place.dialedAt), since(place.lastReceivedAt), since(place.subscribeSentAt),
			since(place.behindSince), since(place.admittedAt), int64(place.recoveryRequests),
			int64(place.receivedMessages), int64(place.unconfirmedBytes))
	}
	for _, c := range n.children {
		k.texts(c.name)
		k.texts(c.scopes.Names...)
		k.version(c.sentVersion)
		k.bits(c.awaitsSnapshot, c.snapshot != nil)
		k.numbers(until(c.leaseEnd), until(c.nextHeartbeatAt), int64(len(c.unconfirmedSizes)))
		if c.snapshot != nil {
			k.version(c.snapshot.version)
			k.numbers(int64(c.snapshot.nextIndex))
		}
	}
	for _, candidate := range n.candidates {
		k.texts(candidate.name)
		k.bits(candidate.proposed)
		k.numbers(until(candidate.avoidUntil))
	}
}
