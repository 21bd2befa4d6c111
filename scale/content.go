package scale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"wheelrill/distribution"
)

// Assumed size of the distributed configuration, and shares of the kinds of changes. Services form
// groups, and a controller needs the entries of one group and the entries that are common to all
// groups.
const (
	servicesPerGroup    = 57  // services in a group: 5,700 services form 100 groups
	controllersPerGroup = 110 // controllers in a group: 11,000 controllers form 100 groups
	commonEntries       = 20
	valueBytes          = 48
	maxEntriesChanged   = 3  // largest number of entries in one change
	commonChangeOneIn   = 10 // one change in 10 changes common entries, which all controllers receive
	drainChangeOneIn    = 5  // one changed entry in 5 is a drain entry, which starts or ends a drain
)

const commonScope = "common"

func groupScope(group int) string { return fmt.Sprintf("group/%03d", group) }

// contentShape is the size of a distributed configuration.
type contentShape struct {
	groups          int // number of service groups
	entriesPerGroup int // number of entries in the scope of each group
}

// scaledContent returns a configuration with as many groups as the given number of controllers
// forms, and with one entry for each service.
func scaledContent(controllers int) contentShape {
	return contentShape{
		groups:          max(1, (controllers+controllersPerGroup-1)/controllersPerGroup),
		entriesPerGroup: servicesPerGroup,
	}
}

// fullContent returns the whole configuration of the expected installation, whatever the number of
// controllers is.
func fullContent() contentShape {
	return contentShape{groups: targetGroups, entriesPerGroup: entriesServed}
}

// content is the configuration that the voters have accepted, with the revision of each change.
// Checks compare the entries of the nodes with it.
type content struct {
	random *rand.Rand // source of random changes; not guarded by mutex, so only one goroutine draws changes
	shape  contentShape

	mutex      sync.Mutex                      // guards all fields that follow in the struct
	revision   uint64                          // newest revision that the voters have accepted
	byScope    map[string][]distribution.Entry // accepted entries of each scope, in the order of their revisions
	recordedAt map[uint64]time.Time            // time at which the first voter received each revision
}

func newContent(shape contentShape, seed uint64) *content {
	return &content{random: rand.New(rand.NewPCG(seed, contentSeed)), shape: shape, byScope: map[string][]distribution.Entry{},
		recordedAt: map[uint64]time.Time{}}
}

const contentSeed = 7 // second seed of the source of changes, so that it differs from the run's other random sources

// initial returns the entries that exist at the start of a run, as one proposal with the entries of
// the common scope and one proposal with the entries of each group.
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

// drawChange returns random entries for the next change: 1 to maxEntriesChanged entries of one
// group, or of the common scope, which all subscribers receive.
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

// noteAccepted adds a change to the content. Every voter calls it with each change that it receives
// from the record, so a revision that the content already has is ignored.
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

// proposalTimeout is the longest time that a proposer waits for its change to be committed.
const proposalTimeout = 500 * time.Millisecond

// acceptedAt returns the time at which a revision was accepted: the time that the leader wrote into
// the revision. If the first voter received the revision more than proposalTimeout after that time,
// acceptedAt returns the time of receipt instead. In that case the proposer already got an error,
// for example while the majority of voters was lost, and the change was committed nevertheless.
func (c *content) acceptedAt(revision uint64, leaderTime int64) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	at := time.UnixMicro(leaderTime)
	if recordedAt, ok := c.recordedAt[revision]; ok && recordedAt.Sub(at) > proposalTimeout {
		return recordedAt
	}
	return at
}

// lastRevision returns the newest accepted revision.
func (c *content) lastRevision() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.revision
}

// newestByScope returns, for each scope, its newest revision up to and including the given one.
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

// stateAt returns the entries that the given scopes hold at a revision.
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

// difference describes how the entries of a node differ from the content at the node's revision. It
// returns "" if they are equal.
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
			return fmt.Sprintf("at revision %d the node has entry %s %s, which does not exist",
				state.Version.Revision, e.Scope, e.Name)
		case !slices.Equal(wanted.Value, e.Value) || wanted.Revision != e.Revision:
			return fmt.Sprintf("at revision %d the node has entry %s %s of revision %d; want the value of revision %d",
				state.Version.Revision, e.Scope, e.Name, e.Revision, wanted.Revision)
		}
	}
	if live != len(want) {
		return fmt.Sprintf("at revision %d the node has %d entries; want %d", state.Version.Revision, live, len(want))
	}
	return ""
}
