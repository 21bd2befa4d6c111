package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"wheelrill/ownership"
)

// BenchmarkCatchUp has a member come as new to a record that went on without it for an hour: 16 entries a second from two
// others, who own 400 proxies between them.
func BenchmarkCatchUp(b *testing.B) {
	const hour, proxies = 16 * 3600, 400
	at := freeAddresses(b, "a", "b", "c")
	a, other, c := startMember(b, Config{Name: "a", Members: at}), startMember(b, Config{Name: "b", Members: at}), startMember(b, Config{Name: "c", Members: at})
	a.commit(b, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
	other.commit(b, ownership.Entry{Member: "b", Incarnation: 2, Seq: 1})
	c.commit(b, ownership.Entry{Member: "c", Incarnation: 3, Seq: 1})
	c.stop()
	lead := a
	if r := other.current().raft; r.State() == raft.Leader {
		lead = other
	}
	for lead.status().Leader == "c" || lead.status().Leader == "" {
		time.Sleep(pollInterval)
		if r := other.current().raft; r.State() == raft.Leader {
			lead = other
		}
	}
	r, m := lead.current().raft, lead.current().machine
	var last raft.ApplyFuture
	began := time.Now()
	for n := range hour {
		e := ownership.Entry{Member: []string{"a", "b"}[n%2], Incarnation: uint64(n%2 + 1), Seq: uint64(n/2 + 2), Revision: uint64(n),
			Confirmations: []ownership.Confirmation{{Proxy: n % proxies, Token: uint64(n%proxies + 1), Revision: uint64(n), Tables: []int{0, 0}}}}
		if n < proxies {
			e.Claims = []int{n}
		}
		if n%40 == 0 {
			e.TableChanges = []ownership.TableChange{{Table: 0, Lines: []ownership.Line{{Backend: fmt.Sprint("s-", n%200), Weight: 1}}}}
		}
		body, err := cbor.Marshal(e)
		if err != nil {
			b.Fatal(err)
		}
		if last = r.Apply(body, 0); n%512 == 0 {
			if err := last.Error(); err != nil {
				b.Fatal(err)
			}
		}
	}
	if err := last.Error(); err != nil {
		b.Fatal(err)
	}
	b.Logf("%d entries taken in by two in %s", hour, time.Since(began).Round(time.Millisecond))
	for _, way := range []struct{ name, told string }{{"log", fmt.Sprintf("recorded b 2 %d", hour/2+1)}, {"snapshot", "restored"}} {
		if way.told == "restored" {
			a.commit(b, ownership.Entry{Member: "a", Incarnation: 1, Seq: hour/2 + 2}) // behind the last change of members
			if err := r.Snapshot().Error(); err != nil && err != raft.ErrNothingNewToSnapshot {
				b.Fatal(err)
			}
		}
		b.Run(way.name, func(b *testing.B) {
			for range b.N {
				back := startMember(b, Config{Name: "c", Members: at})
				back.waitFor(b, way.told)
				b.StopTimer()
				back.stop()
				b.StartTimer()
			}
			b.ReportMetric(float64(m.snapshotBytes.Load()), "snapshot-bytes")
		})
	}
}
