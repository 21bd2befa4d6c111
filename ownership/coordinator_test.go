package ownership

import (
	"fmt"
	"slices"
	"testing"
)

var terms = LeaseTerms{Duration: 1000, RenewInterval: 100, Members: 3}

// fakeHost records the calls of a Coordinator.
type fakeHost struct {
	proposed      []Entry
	granted       map[int]string
	released      uint64
	peerReports   []string
	withoutQuorum []bool
	lastRandomID  uint64
}

func newFakeHost() *fakeHost { return &fakeHost{granted: map[int]string{}} }

func (host *fakeHost) Propose(e Entry) { host.proposed = append(host.proposed, e) }
func (host *fakeHost) ProxyGranted(grant Grant) {
	host.granted[grant.Proxy] = fmt.Sprint(grant.Token, " ", grant.Base != nil)
}
func (host *fakeHost) ReleaseUpTo(revision uint64) { host.released = revision }
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
		if owned := coordinator.record.Proxies[5]; host.granted[5] != "2 true" || owned.Owner != "n0" ||
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
			if host.commitLast(coordinator, 40, fullyRecorded...); host.granted[5] != "2 false" {
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
		if coordinator.ProxyConnected(3, 1200); host.granted[3] != "0 false" {
			t.Errorf("granted %v, want no token and no base", host.granted)
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
		if host.commitLast(coordinator, 80, 1, 2, 1000); host.granted[4] != "2 false" {
			t.Errorf("granted %v, want a grant by the claim for the newer stream, with token 2", host.granted)
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
		if coordinator.OwnedProxies() != 0 {
			t.Errorf("owns %d proxies, want none", coordinator.OwnedProxies())
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
