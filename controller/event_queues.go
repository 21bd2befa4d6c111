package controller

import "sync"

// eventQueues holds the events that connections have for the event loop: a queue for each connection.
// The loop takes events of all connections in turn, so a connection with many events delays the
// others by eventsPerTurn events each at most. Any goroutine may use it.
type eventQueues struct {
	limit  int           // limits.eventsPerConnection
	filled chan struct{} // receives a value when a queue gets events while all queues are empty

	mutex  sync.Mutex    // guards the fields below, and the fields of the queues
	turns  []*eventQueue // queues that have events, in the order of their turns
	queued int           // number of events in all queues
}

// eventsPerTurn is the number of events that the loop takes from one connection before it takes
// events from the next one.
const eventsPerTurn = 16

// eventQueue holds the events of one connection.
type eventQueue struct {
	queues *eventQueues
	events []func()
	limit  int           // greatest number of events
	inTurn bool          // whether the queue is in eventQueues.turns
	space  chan struct{} // receives a value when events were taken from a full queue
}

func newEventQueues(limit int) *eventQueues {
	return &eventQueues{limit: limit, filled: make(chan struct{}, 1)}
}

func (q *eventQueues) newQueue() *eventQueue {
	return &eventQueue{queues: q, limit: q.limit, space: make(chan struct{}, 1)}
}

// setLimit changes the greatest number of events.
func (q *eventQueue) setLimit(limit int) {
	q.queues.mutex.Lock()
	defer q.queues.mutex.Unlock()
	q.limit = limit
}

// put adds an event, and waits while the queue is full. It drops the event if one of the channels is
// closed first.
func (q *eventQueue) put(event func(), closed, stopped <-chan struct{}) {
	for !q.tryPut(event) {
		select {
		case <-q.space:
		case <-closed:
			return
		case <-stopped:
			return
		}
	}
}

// tryPut adds an event unless the queue is full, and reports whether it did.
func (q *eventQueue) tryPut(event func()) bool {
	q.queues.mutex.Lock()
	defer q.queues.mutex.Unlock()
	if len(q.events) >= q.limit {
		return false
	}
	q.add(event)
	return true
}

// putLast adds the last event of a connection, whether the queue is full or not. If the events before
// it are void, it drops them.
func (q *eventQueue) putLast(event func(), earlierAreVoid bool) {
	q.queues.mutex.Lock()
	defer q.queues.mutex.Unlock()
	if earlierAreVoid {
		q.queues.queued -= len(q.events)
		q.events = nil
	}
	q.add(event)
}

// add adds an event. The caller holds the mutex.
func (q *eventQueue) add(event func()) {
	q.events = append(q.events, event)
	if !q.inTurn {
		q.inTurn = true
		q.queues.turns = append(q.queues.turns, q)
	}
	q.queues.queued++
	if q.queues.queued == 1 {
		signal(q.queues.filled)
	}
}

// take returns the events of the next turn: up to eventsPerTurn, and up to limit, events of the
// connection whose turn it is.
func (q *eventQueues) take(limit int) (events []func()) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for len(q.turns) > 0 && len(events) == 0 {
		next := q.turns[0]
		q.turns = q.turns[1:]
		next.inTurn = false
		count := min(len(next.events), eventsPerTurn, limit)
		events = next.events[:count:count]
		next.events = next.events[count:]
		q.queued -= count
		if len(next.events) > 0 {
			next.inTurn = true
			q.turns = append(q.turns, next)
		} else {
			next.events = nil
		}
		signal(next.space)
	}
	return events
}

// signal makes the channel ready to be received from, if it is not so already.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
