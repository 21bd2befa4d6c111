package controller

import (
	"slices"
)

// queuedMessage is a message to a proxy that waits until the replicated record contains its table
// changes, or until this member acts without the record.
type queuedMessage struct {
	conn     *connection
	message  []byte
	revision uint64       // revision of this member's tables when the message was created
	queuedAt microseconds // time at which the message was created
}

// lateReleaseDivisor determines which waits for the record are logged: those of over
// 1/lateReleaseDivisor of a lease.
const lateReleaseDivisor = 4

// ReleaseUpTo implements ownership.Host: it sends the queued messages up to a revision of this
// member's tables. The table changes of these messages are in the replicated record, or this member
// acts without the record.
func (h *ownershipHost) ReleaseUpTo(revision uint64) {
	h.released = max(h.released, revision)
	longestWait := microseconds(0)
	count := 0
	for count < len(h.queued) && h.queued[count].revision <= h.released {
		next := h.queued[count]
		count++
		if !h.loop.isCurrent(next.conn) {
			continue
		}
		if err := next.conn.send(next.message); err != nil {
			h.loop.dropProxy(next.conn.proxy, err)
			continue
		}
		longestWait = max(longestWait, h.loop.now-next.queuedAt)
		h.loop.decisions.MessageReleased(next.conn.proxy)
	}
	h.queued = slices.Delete(h.queued, 0, count)
	if longestWait > h.terms.Duration/lateReleaseDivisor {
		h.loop.log.Warn("messages_released_late", "messages", count, "waited_s", formatDecimal(inSeconds(longestWait), 2))
	}
}

// send sends a message, or queues it if its table changes are not released yet or if other messages
// are queued already, so that the messages keep their order.
func (h *ownershipHost) send(conn *connection, message []byte) error {
	revision := h.coordinator.Revision()
	if len(h.queued) > 0 || revision > h.released {
		h.queued = append(h.queued, queuedMessage{conn, message, revision, h.loop.now})
		h.loop.decisions.MessageHeldBack(conn.proxy)
		return nil
	}
	return conn.send(message)
}
