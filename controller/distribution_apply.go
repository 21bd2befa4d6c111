package controller

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"wheelrill/balancer"
	"wheelrill/distribution"
)

// arrivedEntries holds the distributed entries that the event loop has not taken yet. It keeps the
// newest entry of each key, so the number of entries is bounded by the number of keys.
type arrivedEntries struct {
	mutex sync.Mutex // guards all fields of arrivedEntries
	byKey map[distribution.Key]distribution.Entry
	full  bool // whether the entries are a complete configuration
}

// add merges the entries of a change into the waiting entries. If full is true, the change is a
// complete configuration and replaces all waiting entries.
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

// take returns the entries that have arrived since its last call, in the order of revisions, and
// whether they are a complete configuration.
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

// apply stores a change for the event loop, which takes it in its next iteration. The goroutine of
// the transport calls apply, which does not wait for the loop.
func (d *distributor) apply(change distribution.Change, full bool) {
	d.arrived.add(change.Entries, full)
	d.loop.wake()
}

// takeArrived returns the entries that have arrived since its last call, and whether they are a
// complete configuration.
func (d *distributor) takeArrived() (entries []distribution.Entry, full bool) {
	return d.arrived.take()
}

// changedSubjects are the backends and classes whose overrides have changed.
type changedSubjects struct {
	backends map[string]bool // ids of the backends whose overrides have changed
	classes  map[string]bool // names of the changed classes, only those in this controller's settings
}

// add adds a subject. It returns false if the subject is neither a backend nor a class of this
// controller's settings.
func (c changedSubjects) add(changed subject, classIndex map[string]int) bool {
	if changed.backend != "" {
		c.backends[changed.backend] = true
		return true
	}
	if _, known := classIndex[changed.class]; known {
		c.classes[changed.class] = true
		return true
	}
	return false
}

// applyDistributed passes entries that have arrived to balancer.Controller, as changes of the
// endpoint list and quotas of classes.
func (l *eventLoop) applyDistributed(entries []distribution.Entry, full bool) {
	changed := changedSubjects{backends: map[string]bool{}, classes: map[string]bool{}}
	if full {
		for _, subject := range l.overrides.reset() {
			changed.add(subject, l.classIndex)
		}
	}
	var newest distribution.Entry // entry with the newest revision, as the entries are in the order of revisions
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

// secondsSinceAccepted returns the time since a voter accepted an entry, by the wall clocks of the
// voter and of this process; 0 if the entry has no time of acceptance.
func (l *eventLoop) secondsSinceAccepted(entry distribution.Entry) float64 {
	if entry.AcceptedAt <= 0 {
		return 0
	}
	return inSeconds(l.now - entry.AcceptedAt)
}

// updateOverriddenEndpoints passes the endpoints of backends whose overrides have changed to
// balancer.Controller, as if discovery had changed the endpoints, in the order of backend ids.
func (l *eventLoop) updateOverriddenEndpoints(changed map[string]bool) {
	var endpoints []balancer.Endpoint
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		if backend, known := l.backends.index[id]; known {
			endpoints = l.overrides.appendMerged(endpoints, id, l.overrides.listed[backend])
		}
	}
	if len(endpoints) > 0 {
		l.decisions.EndpointsUpdated(false, endpoints)
	}
}

// updateQuotas passes the limits of the classes whose limits have changed to balancer.Controller,
// as class quotas, in the order of class names.
func (l *eventLoop) updateQuotas(changed map[string]bool) {
	for _, class := range slices.Sorted(maps.Keys(changed)) {
		l.decisions.SetClassQuota(l.classIndex[class], l.overrides.limitOf(class))
	}
}
