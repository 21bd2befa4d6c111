package controller

// queuedEvents returns the number of events in all queues.
func (q *eventQueues) queuedEvents() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.queued
}
