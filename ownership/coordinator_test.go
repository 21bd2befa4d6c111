package ownership

import (
	"fmt"
	"slices"
	"testing"
)

var terms = LeaseTerms{Duration: 1000, RenewInterval: 100, MessageWindow: 10_000, MaxMessages: 36, Members: 3,
	GuaranteedMessages: 4}

// countedAfterMove is the number of messages that count as sent after one move within the window: the
// previous owner may have had all shares but one.
var countedAfterMove = terms.MemberQuota() - terms.UnownedQuota() - terms.OwnerQuota()

// fakeHost records the calls of a Coordinator.
type fakeHost struct {
	proposed      []Entry
	granted       map[int]string
	sentByPeers   map[int]int
	released      uint64
	peerReports   []string
	withoutQuorum []bool
	lastRandomID  uint64
}

func newFakeHost() *fakeHost { return &fakeHost{granted: map[int]string{}, sentByPeers: map[int]int{}} }

func (host *fakeHost) Propose(e Entry) { host.proposed = append(host.proposed, e) }
func (host *fakeHost) ProxyGranted(grant Grant) {
	host.granted[grant.Proxy] = fmt.Sprint(grant.Token, " ", grant.Base != nil, " ", grant.SentMessages)
}
func (host *fakeHost) MessagesSentByPeers(proxy, messages int) { host.sentByPeers[proxy] += messages }
func (host *fakeHost) ReleaseUpTo(revision uint64)             { host.released = revision }
func (host *fakeHost) PeerObservationReported(member string, observation Observation) {
	host.peerReports = append(host.peerReports, member+" "+observation.Backend)
}
func (host *fakeHost) PeerCapacityReported(capacity Capacity) {
	host.peerReports = append(host.peerReports, fmt.Sprint(capacity))
}
func (host *fakeHost) QuorumChanged(withoutQuorum bool, _ string) {
	host.withoutQuorum = append(host.withoutQuorum, withoutQuorum)
}
func (host *fakeHost) RandomID() uint64 { host.lastRandomID++; return host.lastRandomID * 1000 }

// commitLast commits the last proposal, with a stamp, and answers it.
func (host *fakeHost) commitLast(coordinator *Coordinator, now int64, fullyRecorded ...uint64) Entry {
	e := host.proposed[len(host.proposed)-1]
	e.FullyRecorded, e.Stamp = fullyRecorded, Stamp{7, now}
	coordinator.EntryApplied(e, now)
	coordinator.ProposalCommitted(e.Incarnation, e.Seq, now)
	return e
}

// newCoordinatorOnRecord returns a Coordinator that has entered the record, as have two other
// members.
func newCoordinatorOnRecord(t *testing.T) (*fakeHost, *Coordinator) {
	t.Helper()
	host := newFakeHost()
	coordinator := New(host, "n0", terms, 0)
	coordinator.startedAt = -terms.MessageWindow // the member has started before the message window
	coordinator.Tick(0)
	host.commitLast(coordinator, 0)
	for i, name := range []string{"n1", "n2"} {
		coordinator.EntryApplied(Entry{Member: name, Incarnation: uint64(i + 1), Seq: 1, Stamp: Stamp{7, 0}}, 0)
	}
	return host, coordinator
}

func TestCoordinatorClaimsGrantsAndReleases(t *testing.T) {
	t.Run("a proxy is granted when its claim is committed, with the base from its last owner", func(t *testing.T) {
		host, coordinator := newCoordinatorOnRecord(t)
		coordinator.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 2, Claims: []int{5}, Revision: 1,
			Stamp:        Stamp{7, 10},
			TableChanges: []TableChange{{0, []Line{{"a", 1}, {"b", 2}}}}}, 10)
		coordinator.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 3, Revision: 1, Stamp: Stamp{7, 20},
			Confirmations: []Confirmation{{5, 1, 1, []int{0, 0}, true}}}, 20)
		coordinator.ProxyConnected(5, 30)
		if len(host.granted) > 0 {
			t.Fatalf("granted %v before the claim was committed", host.granted)
		}
		host.commitLast(coordinator, 40, 1, 2, 1000)
		if owned := coordinator.record.Proxies[5]; host.granted[5] != fmt.Sprint("2 true ", countedAfterMove) || owned.Owner != "n0" ||
			coordinator.OwnedProxies() != 1 {
			t.Errorf("granted %v, ownership on the record %+v", host.granted, owned)
		}
	})
	t.Run("the base is unknown if a member may have written without quorum", func(t *testing.T) {
		for _, fullyRecorded := range [][]uint64{{1, 1000}, {2, 1000}, nil} {
			host, coordinator := newCoordinatorOnRecord(t)
			coordinator.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 2, Claims: []int{5}, Revision: 1,
				TableChanges: []TableChange{{0, []Line{{"a", 1}}}}}, 10)
			coordinator.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 3, Revision: 1,
				Confirmations: []Confirmation{{5, 1, 1, []int{0}, true}}}, 20)
			coordinator.ProxyConnected(5, 30)
			if host.commitLast(coordinator, 40, fullyRecorded...); host.granted[5] != fmt.Sprint("2 false ", countedAfterMove) {
				t.Errorf("fully recorded %v: granted %v, want no known base", fullyRecorded, host.granted)
			}
		}
	})
	t.Run("table changes wait for their commit, but no longer than a lease", func(t *testing.T) {
		host, coordinator := newCoordinatorOnRecord(t)
		revision := coordinator.ChangeTables([]TableChange{{0, []Line{{"a", 1}}}}, 100)
		if host.released >= revision {
			t.Error("revision released before it was committed")
		}
		if coordinator.Tick(999); coordinator.withoutQuorum || host.released >= revision {
			t.Error("without quorum or released before the lease ended")
		}
		if coordinator.Tick(1100); !coordinator.withoutQuorum || host.released != revision ||
			!slices.Equal(host.withoutQuorum, []bool{false, true}) {
			t.Errorf("without quorum %v, released revision %d, quorum changes %v", coordinator.withoutQuorum,
				host.released, host.withoutQuorum)
		}
		if coordinator.ProxyConnected(3, 1200); host.granted[3] != fmt.Sprint("0 false ", terms.ownerQuotaAfter(0)) {
			t.Errorf("granted %v, want no token, no base and the owner quota counted as sent", host.granted)
		}
		// From the next window on, the member may write only the unowned quota.
		coordinator.Tick(1200 + terms.MessageWindow)
		if host.sentByPeers[3] != terms.ownerQuotaAfter(0) {
			t.Errorf("messages counted as sent by peers: %v", host.sentByPeers)
		}
	})
	t.Run("after a loss of the quorum a new incarnation enters and reclaims active proxies", func(t *testing.T) {
		host, coordinator := newCoordinatorOnRecord(t)
		coordinator.ProxyConnected(4, 50)
		coordinator.ChangeTables([]TableChange{{0, []Line{{"a", 1}, {"b", 1}}}}, 60)
		oldEntry := host.proposed[len(host.proposed)-1]
		coordinator.Tick(1100)
		coordinator.ChangeTables([]TableChange{{0, []Line{{"a", 0}}}}, 1150)
		e := host.commitLast(coordinator, 1200)
		if e.Seq != 1 || e.Incarnation == oldEntry.Incarnation || len(e.Claims)+len(e.Reclaims) > 0 ||
			len(e.TableChanges) != 1 || coordinator.withoutQuorum {
			t.Errorf("entered with %+v, without quorum %v", e, coordinator.withoutQuorum)
		}
		coordinator.ProxyActiveAt(4, 1000) // activity from before the new incarnation does not count
		host.commitLast(coordinator, 1300)
		coordinator.ProxyActiveAt(4, 1350)
		host.commitLast(coordinator, 1400) // commit the entry that was in flight when the proxy was active
		if reclaiming := host.commitLast(coordinator, 1410); !slices.Equal(reclaiming.Reclaims, []int{4}) ||
			coordinator.OwnedProxies() != 1 || len(coordinator.record.Proxies[4].Moves) > 0 {
			t.Errorf("reclaimed with %+v, owns %d proxies, moves %v", reclaiming, coordinator.OwnedProxies(),
				coordinator.record.Proxies[4].Moves)
		}
		if _, accepted := coordinator.record.Apply(oldEntry); accepted {
			t.Error("an entry of an incarnation that is over was accepted")
		}
		incarnation := coordinator.record.Incarnations[e.Incarnation]
		if incarnation.Tables[0].Lines["a"].Weight != 0 || incarnation.Tables[0].Lines["b"].Weight != 1 {
			t.Errorf("table on the record: %+v", incarnation.Tables[0])
		}
	})
	t.Run("a claim in flight for an older stream does not grant a newer stream", func(t *testing.T) {
		host, coordinator := newCoordinatorOnRecord(t)
		coordinator.ProxyConnected(4, 50)
		coordinator.ProxyDisconnected(4)
		coordinator.ProxyConnected(4, 60)
		if host.commitLast(coordinator, 70, 1, 2, 1000); len(host.granted) > 0 {
			t.Errorf("granted %v by the claim for the older stream", host.granted)
		}
		if host.commitLast(coordinator, 80, 1, 2, 1000); host.granted[4] != fmt.Sprint("2 false ", countedAfterMove) {
			t.Errorf("granted %v, want a grant by the claim for the newer stream, with token 2", host.granted)
		}
	})
	t.Run("a proxy that moves often between owners gets no more messages than the limit", func(t *testing.T) {
		host, coordinator := newCoordinatorOnRecord(t)
		for i, name := range []string{"n1", "n2", "n1"} {
			coordinator.EntryApplied(Entry{Member: name, Incarnation: uint64(i%2 + 1), Seq: uint64(2 + i/2),
				Claims: []int{5}, Stamp: Stamp{7, int64(100 + i)}}, 100)
		}
		coordinator.ProxyConnected(5, 200)
		if host.commitLast(coordinator, 210); host.granted[5] != fmt.Sprint("4 false ", terms.ownerQuotaAfter(0)) {
			t.Errorf("granted %v after three moves within the window, want the owner quota counted as sent",
				host.granted)
		}
		for i := range maxMovesWithReserve { // with more moves than this number, an owner has no GuaranteedMessages
			coordinator.ProxyDisconnected(5)
			coordinator.EntryApplied(Entry{Member: []string{"n1", "n2"}[i%2], Incarnation: uint64(i%2 + 1),
				Seq: coordinator.record.Incarnations[uint64(i%2+1)].Seq + 1, Claims: []int{5},
				Stamp: Stamp{7, 220 + int64(i)}}, 220)
		}
		coordinator.ProxyConnected(5, 230)
		if host.commitLast(coordinator, 240); host.granted[5] != fmt.Sprint("9 false ",
			terms.ownerQuotaAfter(0)+terms.UnownedQuota()-1) {
			t.Errorf("granted %v after %d moves", host.granted, maxMovesWithReserve+4)
		}
		for members := 2; members < 8; members++ {
			for _, messages := range []int{7, 12, 30, 36} {
				terms := LeaseTerms{MaxMessages: messages, Members: members, GuaranteedMessages: 4}
				unowned := members * (terms.UnownedQuota() + 1)
				total := unowned + terms.ownerQuotaAfter(0) + terms.ownerQuotaAfter(1) +
					terms.ownerQuotaAfter(2) + terms.ownerQuotaAfter(3)
				if unowned <= messages && total > messages {
					t.Errorf("%d members: all quotas together are %d messages, want at most %d", members, total, messages)
				}
			}
		}
	})
	t.Run("the age of a move is measured by its leader's clock, also just after a start", func(t *testing.T) {
		host := newFakeHost()
		coordinator := New(host, "n0", terms, 0)
		coordinator.Tick(0)
		for i, name := range []string{"n1", "n2", "n1", "n2"} {
			coordinator.EntryApplied(Entry{Member: name, Incarnation: uint64(i + 1), Seq: 1, Claims: []int{5},
				Stamp: Stamp{7, int64(i)}}, 0)
		}
		coordinator.startedAt = -terms.MessageWindow
		coordinator.ProxyConnected(5, 0)
		e := host.proposed[0]
		e.Stamp = Stamp{7, 11_000}
		coordinator.EntryApplied(e, 1)
		coordinator.ProposalCommitted(e.Incarnation, e.Seq, 1)
		e = host.proposed[1]
		e.Stamp = Stamp{7, 11_001}
		if coordinator.EntryApplied(e, 2); host.granted[5] != fmt.Sprint("5 false ", countedAfterMove) {
			t.Errorf("granted %v, though the quotas of the other owners have left the window", host.granted)
		}
	})
	t.Run("after a start or a repeated grant only the guaranteed messages are left", func(t *testing.T) {
		host := newFakeHost()
		coordinator := New(host, "n0", terms, 0)
		coordinator.Tick(0)
		coordinator.Tick(terms.Duration)
		coordinator.ProxyConnected(5, terms.Duration)
		if quota := terms.MemberQuota(); host.granted[5] != fmt.Sprint("0 false ",
			quota-terms.GuaranteedMessages) {
			t.Errorf("granted %v out of a quota of %d", host.granted, quota)
		}
		coordinator.ProxyConnected(6, 2*terms.MessageWindow)
		coordinator.ProxyDisconnected(6)
		coordinator.ProxyConnected(6, 2*terms.MessageWindow+5)
		if quota := terms.MemberQuota(); host.granted[6] != fmt.Sprint("0 false ",
			quota-terms.GuaranteedMessages) {
			t.Errorf("granted %v out of a quota of %d", host.granted, quota)
		}
	})
	t.Run("a proxy that another member has claimed is claimed again only if it is active", func(t *testing.T) {
		host, coordinator := newCoordinatorOnRecord(t)
		for _, proxy := range []int{4, 5} {
			coordinator.ProxyConnected(proxy, 50)
		}
		for range 2 {
			host.commitLast(coordinator, 60)
		}
		coordinator.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 2, Claims: []int{4, 5},
			Stamp: Stamp{7, 70}}, 70)
		if coordinator.OwnedProxies() != 0 || host.sentByPeers[4] != terms.ownerQuotaAfter(0) {
			t.Errorf("owns %d proxies, messages counted as sent by peers: %v", coordinator.OwnedProxies(),
				host.sentByPeers)
		}
		coordinator.ProxyActiveAt(4, 60) // does not count: proxy 4 was lost at 70
		coordinator.ProxyActiveAt(5, 300)
		coordinator.Tick(300)
		host.commitLast(coordinator, 310)
		if host.commitLast(coordinator, 320); coordinator.record.Proxies[5].Owner != "n0" ||
			coordinator.record.Proxies[4].Owner != "n1" {
			t.Errorf("ownership on the record: %+v", coordinator.record.Proxies)
		}
	})
	t.Run("a member under whose name another process has entered continues without quorum", func(t *testing.T) {
		host, coordinator := newCoordinatorOnRecord(t)
		coordinator.EntryApplied(Entry{Member: "n0", Incarnation: 77, Seq: 1}, 50)
		coordinator.Tick(terms.RenewInterval)
		if host.commitLast(coordinator, terms.RenewInterval); !slices.Contains(host.withoutQuorum, true) ||
			coordinator.incarnation == 1000 {
			t.Errorf("quorum changes %v, incarnation %d", host.withoutQuorum, coordinator.incarnation)
		}
	})
	t.Run("a withdrawal stays on the record until its member restores the backend or enters again", func(t *testing.T) {
		host := newFakeHost()
		coordinator := New(host, "n0", terms, 0)
		coordinator.Tick(0)
		for member, incarnation := range map[string]uint64{"n1": 1, "n2": 2} {
			coordinator.EntryApplied(Entry{Member: member, Incarnation: incarnation, Seq: 1}, 0)
			coordinator.EntryApplied(Entry{Member: member, Incarnation: incarnation, Seq: 2,
				Observations: []Observation{{Backend: "a", Attempts: 5, Failed: 5, Withdrawn: true}}}, 10)
		}
		coordinator.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 3,
			Observations: []Observation{{Backend: "a", Attempts: 5}}}, 20)
		if len(coordinator.record.Withdrawn["a"]) != 1 || len(host.peerReports) > 0 {
			t.Errorf("withdrawn %v, passed on %v before this member entered", coordinator.record.Withdrawn,
				host.peerReports)
		}
		if host.commitLast(coordinator, 30); !slices.Equal(host.peerReports, []string{"n2 a"}) {
			t.Errorf("passed on %v, want only the withdrawal of a by n2", host.peerReports)
		}
		if coordinator.EntryApplied(Entry{Member: "n1", Incarnation: 1, Seq: 4,
			Observations: []Observation{{Backend: "b"}}}, 35); !slices.Equal(host.peerReports,
			[]string{"n2 a", "n1 b"}) {
			t.Errorf("passed on %v, want also the observation of b by n1", host.peerReports)
		}
		if coordinator.EntryApplied(Entry{Member: "n2", Incarnation: 5, Seq: 1},
			40); len(coordinator.record.Withdrawn) != 0 {
			t.Errorf("withdrawn %v after n2 entered again, want no withdrawal", coordinator.record.Withdrawn)
		}
	})
}

func TestOwnerOfStayingProxyHasMessagesForDrains(t *testing.T) {
	// Guards against owners that keep messages for owners that do not come: of 12 messages in 10 s, a
	// member of two might write 4 to a proxy that had always been its own, so that drains were late.
	for _, c := range []struct {
		messages, members            int
		staying, afterMove, afterTwo int // messages of an owner after no, one and two moves
	}{
		{12, 2, 8, 2, 2}, {12, 3, 7, 1, 1}, {30, 3, 14, 9, 4}, {30, 2, 16, 11, 6}, {7, 2, 4, 1, 1}, {2, 4, 1, 1, 1},
	} {
		terms := LeaseTerms{MaxMessages: c.messages, Members: c.members, GuaranteedMessages: 4}
		staying := terms.MemberQuota()
		afterMove := terms.UnownedQuota() + terms.ownerQuotaAfter(1)
		afterTwo := terms.UnownedQuota() + terms.ownerQuotaAfter(2)
		if staying != c.staying || afterMove != c.afterMove || afterTwo != c.afterTwo {
			t.Errorf("%d messages, %d members: an owner has %d, %d and %d, want %d, %d and %d", c.messages, c.members,
				staying, afterMove, afterTwo, c.staying, c.afterMove, c.afterTwo)
		}
	}
}
