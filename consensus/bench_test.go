package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"wheelrill/ownership"
)

// BenchmarkCatchUp measures how long a member without stored data takes to catch up with a record
// to which two other members appended entries for an hour: 16 entries per second in total, from two
// members that own 400 proxies together.
func BenchmarkCatchUp(b *testing.B) {
	const entries, proxies = 16 * 3600, 400 // 16 entries per second for an hour; both members own 400 proxies in total
	addresses := freeAddresses(b, "a", "b", "c")
	memberA := startMember(b, Config{Name: "a", Members: addresses})
	memberB := startMember(b, Config{Name: "b", Members: addresses})
	memberC := startMember(b, Config{Name: "c", Members: addresses})
	memberA.commit(b, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
	memberB.commit(b, ownership.Entry{Member: "b", Incarnation: 2, Seq: 1})
	memberC.commit(b, ownership.Entry{Member: "c", Incarnation: 3, Seq: 1})
	memberC.stop()
	leader := memberA
	if r := memberB.current().raft; r.State() == raft.Leader {
		leader = memberB
	}
	for leader.status().Leader == "c" || leader.status().Leader == "" {
		time.Sleep(pollInterval)
		if r := memberB.current().raft; r.State() == raft.Leader {
			leader = memberB
		}
	}
	r, machine := leader.current().raft, leader.current().machine
	var last raft.ApplyFuture
	start := time.Now()
	for n := range entries {
		e := ownership.Entry{Member: []string{"a", "b"}[n%2], Incarnation: uint64(n%2 + 1), Seq: uint64(n/2 + 2),
			Revision: uint64(n), Confirmations: []ownership.Confirmation{{Proxy: n % proxies,
				Token: uint64(n%proxies + 1), Revision: uint64(n), Tables: []int{0, 0}}}}
		if n < proxies {
			e.Claims = []int{n}
		}
		if n%40 == 0 {
			e.TableChanges = []ownership.TableChange{{Table: 0,
				Lines: []ownership.Line{{Backend: fmt.Sprint("s-", n%200), Weight: 1}}}}
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
	b.Logf("%d entries committed by two members in %s", entries, time.Since(start).Round(time.Millisecond))
	for _, source := range []struct{ name, lastEvent string }{
		{"log", fmt.Sprintf("entry committed b 2 %d", entries/2+1)},
		{"snapshot", "snapshot restored"},
	} {
		if source.name == "snapshot" {
			// Raft takes a snapshot only if it has applied an entry that follows the last change of its
			// list of members.
			memberA.commit(b, ownership.Entry{Member: "a", Incarnation: 1, Seq: entries/2 + 2})
			if err := r.Snapshot().Error(); err != nil && err != raft.ErrNothingNewToSnapshot {
				b.Fatal(err)
			}
		}
		b.Run(source.name, func(b *testing.B) {
			for range b.N {
				restarted := startMember(b, Config{Name: "c", Members: addresses})
				restarted.waitFor(b, source.lastEvent)
				b.StopTimer()
				restarted.stop()
				b.StartTimer()
			}
			b.ReportMetric(float64(machine.snapshotBytes.Load()), "snapshot-bytes")
		})
	}
}
