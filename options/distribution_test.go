package options

import (
	"strings"
	"testing"
)

const subscribing = `distribution:
  role: subscriber
  name: s17
  parents:
    n0: 127.0.0.1:9001
    n1: 127.0.0.1:9002
  scopes: [pricing, orders]
  listen: 127.0.0.1:9017
  fan_out: 8
  plain: true
  snapshot_bytes_per_s: 16777216
`

const voting = good + `distribution:
  role: voter
  fan_out: 16
  snapshot_bytes_per_s: 1024
`

func TestDistributionIsReadOrRefusedWithItsLine(t *testing.T) {
	f, err := Parse("w.yaml", []byte(subscribing))
	if err != nil {
		t.Fatal(err)
	}
	if d := f.Distribution; d.Role != Subscriber || d.Parents["n1"] != "127.0.0.1:9002" || len(d.Scopes) != 2 || d.FanOut != 8 || d.SnapshotBytesPerSecond != 16<<20 {
		t.Errorf("got %+v", d)
	}
	if f, err := Parse("w.yaml", []byte(voting)); err != nil || f.Distribution.Role != Voter || f.Distribution.FanOut != 16 || f.Distribution.SnapshotBytesPerSecond != 1024 {
		t.Errorf("got %+v, %v", f, err)
	}
	if _, err := Parse("w.yaml", []byte(strings.Replace(subscribing, "[pricing, orders]", `["*"]`, 1))); err != nil {
		t.Error(err)
	}
	for _, bad := range []struct{ text, old, new, want string }{
		{subscribing, "role: subscriber", "role: leader", `w.yaml:2: distribution.role: "leader"; give voter or subscriber`},
		{subscribing, "role: subscriber", "role: voter", "w.yaml:2: distribution.role: a voter is a member that shares the record"},
		{subscribing, "role: subscriber", "rule: subscriber", `w.yaml:2: rule: unknown field "rule"`},
		{subscribing, "name: s17", "name: n0", "w.yaml:5: distribution.parents.n0: is this subscriber itself"},
		{subscribing, "name: s17", "name: " + strings.Repeat("s", 193), "w.yaml:3: distribution.name: has 193 bytes"},
		{subscribing, "name: s17", "name: s@17", `w.yaml:3: distribution.name: "s@17" has a @`},
		{subscribing, "    n0: 127.0.0.1:9001\n    n1: 127.0.0.1:9002", "    {}", "w.yaml:5: distribution.parents: names nobody"},
		{subscribing, "9002", "9001", "w.yaml:6: distribution.parents.n1: 127.0.0.1:9001 is that of n0 already"},
		{subscribing, "n1: 127.0.0.1:9002", "n1: 10.0.0.4:9002", "w.yaml:6: distribution.parents.n1: 10.0.0.4:9002 is not on loopback"},
		{subscribing, "[pricing, orders]", "[]", "w.yaml:7: distribution.scopes: has 0"},
		{subscribing, "[pricing, orders]", `[""]`, `w.yaml:7: distribution.scopes: ""; give`},
		{subscribing, "[pricing, orders]", "[pricing, pricing]", `w.yaml:7: distribution.scopes: "pricing" stands there twice`},
		{subscribing, "[pricing, orders]", `[pricing, "*"]`, `w.yaml:7: distribution.scopes: "*" stands for all of them`},
		{subscribing, "listen: 127.0.0.1:9017", "listen: 9017", `w.yaml:8: distribution.listen: "9017" is no address`},
		{subscribing, "listen: 127.0.0.1:9017\n  fan_out: 8\n  plain: true", "listen: 0.0.0.0:9017\n  certificate: c\n  key: k\n  authority: a",
			"w.yaml:8: distribution.listen: 0.0.0.0:9017 is nothing that others could dial"},
		{subscribing, "listen: 127.0.0.1:9017\n  fan_out: 8\n  plain: true", "listen: :9017\n  certificate: c\n  key: k\n  authority: a",
			"w.yaml:8: distribution.listen: :9017 is nothing that others could dial"},
		{subscribing, "listen: 127.0.0.1:9017", "listen: 0.0.0.0:9017", "w.yaml:8: distribution.listen: 0.0.0.0:9017 is not on loopback"},
		{subscribing, "  listen: 127.0.0.1:9017\n", "", "w.yaml:8: distribution.fan_out: is for one that passes on"},
		{subscribing, "fan_out: 8", "fan_out: 257", "w.yaml:9: distribution.fan_out: is 257"},
		{subscribing, "  listen: 127.0.0.1:9017\n  fan_out: 8\n", "", "w.yaml:9: distribution.snapshot_bytes_per_s: is for one that passes on"},
		{subscribing, "16777216", "1023", "w.yaml:11: distribution.snapshot_bytes_per_s: is 1023; give a number from 1024 to 1073741824"},
		{subscribing, "16777216", "-1", "w.yaml:11: distribution.snapshot_bytes_per_s: is -1"},
		{voting, ": 1024", ": 1073741825", "w.yaml:12: distribution.snapshot_bytes_per_s: is 1073741825"},
		{subscribing, "plain: true", "plain: false", "w.yaml:2: distribution: needs certificate, key and authority"},
		{subscribing, "plain: true", "plain: true\n  key: k.pem", "w.yaml:10: distribution.plain: goes without"},
		{voting, "fan_out: 16", "scopes: [pricing]", "w.yaml:11: distribution.scopes: is for subscribers"},
		{voting, "fan_out: 16", "folder: /x", "w.yaml:11: distribution.folder: is for subscribers"},
		{voting, "fan_out: 16", "plain: true", "w.yaml:11: distribution.plain: is for subscribers"},
	} {
		text := strings.Replace(bad.text, bad.old, bad.new, 1)
		if _, err := Parse("w.yaml", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), bad.want) {
			t.Errorf("%q: got %v, not %s", bad.new, err, bad.want)
		}
	}
}
