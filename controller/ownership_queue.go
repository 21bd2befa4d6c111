package controller

import (
	"slices"
)

// queuedMessage is a message that waits until what it says stands on the record.
type queuedMessage struct {
	conn     *connection
	message  []byte
	revision uint64 // of our tables, that it says something of
}

// ReleaseUpTo implements ownership.Host: what stands on the record up to a revision of our tables may leave.
func (h *ownershipHost) ReleaseUpTo(revision uint64) {
	h.released = max(h.released, revision)
	count := 0
	for count < len(h.queued) && h.queued[count].revision <= h.released {
		next := h.queued[count]
		count++
		if !h.loop.isCurrent(next.conn) {
			continue
		}
		if err := next.conn.send(next.message); err != nil {
			h.loop.dropProxy(next.conn.proxy, err)
		}
	}
	h.queued = slices.Delete(h.queued, 0, count)
}

// send has a message leave, or wait for the record behind others.
func (h *ownershipHost) send(conn *connection, message []byte) error {
	revision := h.coordinator.Revision()
	if len(h.queued) > 0 || revision > h.released {
		h.queued = append(h.queued, queuedMessage{conn, message, revision})
		return nil
	}
	return conn.send(message)
}
