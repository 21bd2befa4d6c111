package controller

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"wheelrill/balancer"
	"wheelrill/distribution"
)

// arrivedEntries are distributed entries that the event loop has not taken: the newest of each key, so that their number is bounded
// by that of the keys.
type arrivedEntries struct {
	mutex sync.Mutex // guards all of it
	byKey map[distribution.Key]distribution.Entry
	full  bool // they are all that there is
}

// add adds a change; a full one replaces all that waits.
func (a *arrivedEntries) add(entries []distribution.Entry, full bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if full || a.byKey == nil {
		a.byKey = map[distribution.Key]distribution.Entry{}
	}
	a.full = a.full || full
	for _, entry := range entries {
		a.byKey[entry.Key()] = entry
	}
}

// take gives what has arrived since it was last called, in the order of revisions.
func (a *arrivedEntries) take() (entries []distribution.Entry, full bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	entries = slices.SortedFunc(maps.Values(a.byKey), func(a, b distribution.Entry) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Name, b.Name))
	})
	full = a.full
	a.byKey, a.full = nil, false
	return entries, full
}

// apply keeps what has arrived for the event loop, which takes it in its next iteration. The transport's goroutine calls it; it does
// not wait for the loop.
func (d *distributor) apply(change distribution.Change, full bool) {
	d.arrived.add(change.Entries, full)
	d.loop.wake()
}

// takeArrived gives what has arrived since it was last called.
func (d *distributor) takeArrived() (entries []distribution.Entry, full bool) {
	return d.arrived.take()
}

// changedSubjects are the backends and classes that distributed entries say something new of.
type changedSubjects struct {
	backends map[string]bool // by id
	classes  map[string]bool // by name; only those of our settings
}

// add takes in a subject; false if it is of no concern here.
func (c changedSubjects) add(changed subject, classIndex map[string]int) bool {
	if changed.backend != "" {
		c.backends[changed.backend] = true
		return true
	}
	if _, ours := classIndex[changed.class]; ours {
		c.classes[changed.class] = true
		return true
	}
	return false
}

// applyDistributed has the decisions act by what has arrived: through the list of endpoints, and the quotas of classes.
func (l *eventLoop) applyDistributed(entries []distribution.Entry, full bool) {
	changed := changedSubjects{backends: map[string]bool{}, classes: map[string]bool{}}
	if full {
		for _, subject := range l.overrides.reset() {
			changed.add(subject, l.classIndex)
		}
	}
	var newest distribution.Entry // entries come in the order of their revisions
	for _, entry := range entries {
		subject, ok := l.overrides.apply(entry)
		if !ok {
			l.log.Warn("entry_unusable", "scope", entry.Scope, "name", entry.Name, "revision", entry.Revision)
		}
		if changed.add(subject, l.classIndex) {
			newest = entry
		}
	}
	if len(changed.backends)+len(changed.classes) == 0 {
		return
	}
	l.log.Info("configuration_applied", "revision", newest.Revision, "full", full, "backends", len(changed.backends),
		"drained", len(l.overrides.drains), "weighted", len(l.overrides.weights),
		"delay_s", formatDecimal(l.secondsSinceAccepted(newest), 3), "classes", len(changed.classes))
	l.updateOverriddenEndpoints(changed.backends)
	l.updateQuotas(changed.classes)
}

// secondsSinceAccepted is how long ago a voter accepted an entry, by both wall clocks; 0 if nobody said when.
func (l *eventLoop) secondsSinceAccepted(entry distribution.Entry) float64 {
	if entry.AcceptedAt <= 0 {
		return 0
	}
	return inSeconds(l.now - entry.AcceptedAt)
}

// updateOverriddenEndpoints tells the decisions of backends whose overrides have changed, as if discovery did, in the order of ids.
func (l *eventLoop) updateOverriddenEndpoints(changed map[string]bool) {
	var endpoints []balancer.Endpoint
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		if backend, known := l.backends.index[id]; known {
			endpoints = l.overrides.merged(endpoints, id, l.overrides.listed[backend])
		}
	}
	if len(endpoints) > 0 {
		l.decisions.EndpointsUpdated(false, endpoints)
	}
}

// updateQuotas tells the decisions of classes whose limits have changed, in the order of names.
func (l *eventLoop) updateQuotas(changed map[string]bool) {
	for _, class := range slices.Sorted(maps.Keys(changed)) {
		l.decisions.SetClassQuota(l.classIndex[class], l.overrides.limitOf(class))
	}
}
