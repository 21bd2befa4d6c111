package ownership

import (
	"fmt"
	"testing"
)

func TestRecordApply(t *testing.T) {
	t.Run("a line that was set or removed after the acknowledged revision is uncertain", func(t *testing.T) {
		record := NewRecord()
		record.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 1, Claims: []int{3}, Revision: 1,
			TableChanges: []TableChange{{0, []Line{{"a", 1}, {"b", 1}, {"c", 1}}}}})
		record.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 2, Revision: 2,
			TableChanges:  []TableChange{{0, []Line{{"a", 0.5}, {"b", 0}}}},
			Confirmations: []Confirmation{{3, 1, 1, []int{0}, true}}})
		moves, _ := record.Apply(Entry{Member: "n1", Incarnation: 2, Seq: 1, Claims: []int{3},
			FullyRecorded: []uint64{1}})
		base := moves[0].Base
		if len(base) != 1 || !base[0].Uncertain["a"] || !base[0].Uncertain["b"] || base[0].Uncertain["c"] ||
			base[0].Lines["c"] != 1 {
			t.Errorf("base %+v, want a and b uncertain, and c known with weight 1", base)
		}
	})
	t.Run("a proxy holds no withdrawals if it acknowledged all restores and has none by others", func(t *testing.T) {
		for _, c := range []struct {
			withdrawalsKnown                     bool
			withdrawnWeight                      float64
			tablesRevision, acknowledgedRevision uint64
			noWithdrawals                        bool
		}{{true, 0, 2, 2, true}, {true, 1, 2, 2, false}, {true, 0, 3, 2, false}, {false, 0, 2, 2, false}} {
			record := NewRecord()
			record.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 1, Claims: []int{3}, Revision: 1,
				TableChanges: []TableChange{{0, []Line{{"a", 1}}}}})
			record.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 2, Revision: c.tablesRevision,
				TableChanges:  []TableChange{{WithdrawnTable, []Line{{"a", c.withdrawnWeight}}}},
				Confirmations: []Confirmation{{3, 1, c.acknowledgedRevision, []int{0}, c.withdrawalsKnown}}})
			if moves, _ := record.Apply(Entry{Member: "n1", Incarnation: 2, Seq: 1, Claims: []int{3},
				FullyRecorded: []uint64{1}}); moves[0].NoWithdrawals != c.noWithdrawals ||
				!moves[0].Known {
				t.Errorf("case %+v: got %+v, want a known base and NoWithdrawals %v", c, moves[0], c.noWithdrawals)
			}
		}
	})
	t.Run("removed lines are compacted, and a base from before the compaction is unknown", func(t *testing.T) {
		record := NewRecord()
		record.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 1, Claims: []int{3, 4}, Revision: 1,
			TableChanges: []TableChange{{0, []Line{{"a", 1}}}}})
		record.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 2, Revision: 1,
			Confirmations: []Confirmation{{3, 1, 1, []int{0}, true}}})
		for seq := uint64(3); seq < 400; seq++ {
			record.Apply(Entry{Member: "n0", Incarnation: 1, Seq: seq, Revision: seq,
				TableChanges: []TableChange{{0, []Line{{fmt.Sprint("s", seq), 0}}}}})
		}
		record.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 400, Revision: 400,
			Confirmations: []Confirmation{{4, 2, 399, []int{0}, true}}})
		if n := len(record.Incarnations[1].Tables[0].Lines); n > maxRemovedLines+1 {
			t.Errorf("the table has %d lines, want at most %d", n, maxRemovedLines+1)
		}
		moves, _ := record.Apply(Entry{Member: "n1", Incarnation: 2, Seq: 1, Claims: []int{3, 4},
			FullyRecorded: []uint64{1}})
		if moves[0].Known || !moves[1].Known {
			t.Errorf("moves %+v, want only the base of the second known", moves)
		}
	})
	t.Run("repeats and entries of closed incarnations are ignored, unused incarnations dropped", func(t *testing.T) {
		record := NewRecord()
		first := Entry{Member: "n0", Incarnation: 1, Seq: 1, Claims: []int{3}}
		record.Apply(first)
		if _, accepted := record.Apply(first); accepted || record.Token != 1 {
			t.Errorf("accepted twice, token %d", record.Token)
		}
		record.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 2, Closing: true})
		if _, accepted := record.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 3, Claims: []int{4}}); accepted {
			t.Error("an entry of a closed incarnation was accepted")
		}
		record.Apply(Entry{Member: "n0", Incarnation: 2, Seq: 1, SeenToken: 40})
		if len(record.Incarnations) != 2 {
			t.Errorf("%d incarnations, want 2 while the older one owns a proxy", len(record.Incarnations))
		}
		if moves, _ := record.Apply(Entry{Member: "n1", Incarnation: 9, Seq: 1,
			Claims: []int{3}}); len(record.Incarnations) != 2 || moves[0].To.Token != 41 {
			t.Errorf("incarnations %v, moves %+v", record.Incarnations, moves)
		}
	})
	t.Run("a repeated first entry does not bring back an incarnation that is over or dropped", func(t *testing.T) {
		record := NewRecord()
		record.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 1})
		record.Apply(Entry{Member: "n0", Incarnation: 2, Seq: 1})
		if _, accepted := record.Apply(Entry{Member: "n0", Incarnation: 1, Seq: 1}); accepted ||
			record.Members["n0"] != 2 || record.Incarnations[1] != nil {
			t.Errorf("the present incarnation is %d, incarnations %v", record.Members["n0"], record.Incarnations)
		}
		for incarnation := uint64(3); incarnation < 99; incarnation++ {
			record.Apply(Entry{Member: "n0", Incarnation: incarnation, Seq: 1})
		}
		if len(record.PastIncarnations["n0"]) != maxPastIncarnations {
			t.Errorf("%d past incarnations are remembered, want %d", len(record.PastIncarnations["n0"]),
				maxPastIncarnations)
		}
	})
}
