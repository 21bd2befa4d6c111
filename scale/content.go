package scale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"wheelrill/distribution"
)

// What is distributed, by assumption: services stand in groups, a controller serves one group and what is common to all.
const (
	servicesPerGroup    = 57  // of 5,700 in 100 groups
	controllersPerGroup = 110 // of 11,000
	commonEntries       = 20
	valueBytes          = 48
	maxEntriesChanged   = 3  // entries that one change has at most
	commonChangeOneIn   = 10 // one change in so many goes to all
	drainChangeOneIn    = 5  // one in so many sets or ends a drain, which is an entry that comes and goes
)

const commonScope = "common"

func groupScope(group int) string { return fmt.Sprintf("group/%03d", group) }

// contentShape is how much is distributed.
type contentShape struct {
	groups          int // of services
	entriesPerGroup int // entries of each group
}

// scaledContent has as many groups as so many controllers serve, and of each service one entry.
func scaledContent(controllers int) contentShape {
	return contentShape{groups: max(1, (controllers+controllersPerGroup-1)/controllersPerGroup), entriesPerGroup: servicesPerGroup}
}

// fullContent is all that there will be, however many controllers there are.
func fullContent() contentShape {
	return contentShape{groups: targetGroups, entriesPerGroup: entriesServed}
}

// content is the configuration as it was proposed, change by change: what nodes are compared with.
type content struct {
	random *rand.Rand // of whoever draws changes, one at a time
	shape  contentShape

	mutex      sync.Mutex                      // of all below
	revision   uint64                          // the newest that was accepted
	byScope    map[string][]distribution.Entry // as voters accepted them, by revision
	recordedAt map[uint64]time.Time            // when the first voter had a revision from the record
}

func newContent(shape contentShape, seed uint64) *content {
	return &content{random: rand.New(rand.NewPCG(seed, contentSeed)), shape: shape, byScope: map[string][]distribution.Entry{},
		recordedAt: map[uint64]time.Time{}}
}

const contentSeed = 7 // tells what is drawn here from what is drawn elsewhere by the same seed

// initial gives all entries at the start, in proposals.
func (c *content) initial() (proposals [][]distribution.Entry) {
	var common []distribution.Entry
	for i := range commonEntries {
		common = append(common, c.entry(commonScope, fmt.Sprintf("tenant/%d", i)))
	}
	proposals = append(proposals, common)
	for group := range c.shape.groups {
		var entries []distribution.Entry
		for i := range c.shape.entriesPerGroup {
			entries = append(entries, c.entry(groupScope(group), fmt.Sprintf("service/%d", i)))
		}
		proposals = append(proposals, entries)
	}
	return proposals
}

func (c *content) entry(scope, name string) distribution.Entry {
	value := make([]byte, valueBytes)
	for i := range value {
		value[i] = byte(c.random.UintN(256))
	}
	return distribution.Entry{Scope: scope, Name: name, Value: value}
}

// drawChange gives the entries of the next change: some of one group, or some that go to all.
func (c *content) drawChange() (entries []distribution.Entry) {
	scope := groupScope(c.random.IntN(c.shape.groups))
	names := c.shape.entriesPerGroup
	kind := "service"
	if c.random.IntN(commonChangeOneIn) == 0 {
		scope = commonScope
		names = commonEntries
		kind = "tenant"
	}
	currentEntries := c.stateAt(c.lastRevision(), distribution.SomeScopes(scope))
	for _, i := range c.random.Perm(names)[:1+c.random.IntN(maxEntriesChanged)] {
		name := fmt.Sprintf("%s/%d", kind, i)
		drain := c.random.IntN(drainChangeOneIn) == 0
		if drain {
			name += "/drain"
		}
		e := c.entry(scope, name)
		if _, live := currentEntries[e.Key()]; drain && live {
			e.Deleted = true
			e.Value = nil
		}
		entries = append(entries, e)
	}
	return entries
}

// noteAccepted notes a change as the voters have it.
func (c *content) noteAccepted(change distribution.Change) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if change.Revision <= c.revision {
		return
	}
	c.revision = change.Revision
	c.recordedAt[change.Revision] = time.Now()
	for _, e := range change.Entries {
		e.Revision = change.Revision
		c.byScope[e.Scope] = append(c.byScope[e.Scope], e)
	}
}

// proposalTimeout is how long a proposer waits at most until it is told that its change stands.
const proposalTimeout = 500 * time.Millisecond

// acceptedAt is when a revision was accepted: as its leader noted it, unless it came to stand only after its proposer had
// been told that it did not, as where the majority was lost.
func (c *content) acceptedAt(revision uint64, leaderTime int64) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	at := time.UnixMicro(leaderTime)
	if recordedAt, ok := c.recordedAt[revision]; ok && recordedAt.Sub(at) > proposalTimeout {
		return recordedAt
	}
	return at
}

// lastRevision is the newest revision.
func (c *content) lastRevision() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.revision
}

// newestByScope is the last revision of each scope up to one.
func (c *content) newestByScope(revision uint64) map[string]uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	newest := map[string]uint64{}
	for scope, entries := range c.byScope {
		for _, e := range slices.Backward(entries) {
			if e.Revision <= revision {
				newest[scope] = e.Revision
				break
			}
		}
	}
	return newest
}

// stateAt is what some scopes hold at a revision.
func (c *content) stateAt(revision uint64, scopes distribution.Scopes) map[distribution.Key]distribution.Entry {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := map[distribution.Key]distribution.Entry{}
	for scope, entries := range c.byScope {
		if !scopes.Has(scope) {
			continue
		}
		for _, e := range entries {
			if e.Revision > revision {
				break
			}
			if e.Deleted {
				delete(state, e.Key())
			} else {
				state[e.Key()] = e
			}
		}
	}
	return state
}

// difference says how a node's entries differ from what they should be at its revision; empty where they do not.
func (c *content) difference(state distribution.State, scopes distribution.Scopes) string {
	want := c.stateAt(state.Version.Revision, scopes)
	live := 0
	for _, e := range state.Entries {
		if e.Deleted {
			continue
		}
		live++
		switch wanted, ok := want[e.Key()]; {
		case !ok:
			return fmt.Sprintf("at revision %d it has %s %s, which is not there", state.Version.Revision, e.Scope, e.Name)
		case !slices.Equal(wanted.Value, e.Value) || wanted.Revision != e.Revision:
			return fmt.Sprintf("at revision %d it has %s %s of revision %d, not of %d", state.Version.Revision, e.Scope, e.Name, e.Revision,
				wanted.Revision)
		}
	}
	if live != len(want) {
		return fmt.Sprintf("at revision %d it has %d entries, not %d", state.Version.Revision, live, len(want))
	}
	return ""
}
