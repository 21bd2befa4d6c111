package ownership

import (
	"encoding/hex"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestEncodedBytes pins the bytes that members send to each other and store on disk. A member of
// the last release reads the entries of this release, and a stored folder outlives both, so no
// renamed and no new field may change these bytes.
func TestEncodedBytes(t *testing.T) {
	observation := Observation{Backend: "a", Attempts: 5, Failed: 4, MeanLatency: 3000, Window: 2000, Withdrawn: true,
		Backoff: 700}
	entry := Entry{Member: "n1", Incarnation: 77, Seq: 1, SeenToken: 3, Closing: true, Claims: []int{5},
		Reclaims: []int{6}, Revision: 9,
		TableChanges:  []TableChange{{Table: 2, Lines: []Line{{Backend: "a", Weight: 0.5}}}},
		Confirmations: []Confirmation{{Proxy: 5, Token: 4, Revision: 8, Tables: []int{2, 2}, WithdrawalsKnown: true}},
		Observations:  []Observation{observation}, Demands: []Demand{{Proxy: 5, Rates: []float64{1.5, 0}}},
		Capacity:      Capacity{Proven: 2, Saturated: 3},
		FullyRecorded: []uint64{77, 78}, Stamp: Stamp{Leader: 9, At: 1234}}
	record := NewRecord()
	record.Token = 7
	record.Members["n1"] = 77
	record.Incarnations[77] = &Incarnation{Member: "n1", Seq: 2, Closed: true, Revision: 9,
		Tables: map[int]*Table{2: {Lines: map[string]VersionedWeight{"a": {Weight: 0.5, Revision: 9}}, CompactedAt: 1}}}
	record.Proxies[5] = Ownership{Owner: "n1", Incarnation: 77, Token: 7, Revision: 9, Tables: []int{2},
		Moves: []Stamp{{Leader: 9, At: 1}}, WithdrawalsKnown: true}
	record.Withdrawn["a"] = map[string]Observation{"n1": observation}
	record.Demands[5] = []float64{1.5}
	record.Capacities["n1"] = Capacity{Proven: 2, Saturated: 3}
	record.PastIncarnations["n1"] = []uint64{76}
	for _, c := range []struct {
		name  string
		value any
		want  string
	}{
		{"a minimal entry", Entry{Member: "n1", Incarnation: 77, Seq: 2},
			"a501626e3102184d03020ea201fb000000000000000002fb00000000000000000ca201000200"},
		{"an entry", entry,
			"af01626e3102184d0301040305f50681050f810607090881a201020281a201616102fb3fe00000000000000981a50105" +
				"020403080482020205f50a81a70161610205030404190bb8051907d006f5071902bc0d81a201050282fb3ff800000000" +
				"0000fb00000000000000000ea201fb400000000000000002fb40080000000000000b82184d184e0ca20109021904d2"},
		{"a record", record,
			"a8010702a1626e31184d03a1184da501626e31020203f5040905a102a201a16161a201fb3fe000000000000002090201" +
				"04a105a701626e3102184d030704090581020681a20109020107f505a16161a1626e31a70161610205030404190bb805" +
				"1907d006f5071902bc06a10581fb3ff800000000000007a1626e31a201fb400000000000000002fb4008000000000000" +
				"08a1626e3181184c"},
	} {
		body, err := cbor.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(body); got != c.want {
			t.Errorf("%s is encoded as\n%s, want\n%s", c.name, got, c.want)
		}
	}
}
