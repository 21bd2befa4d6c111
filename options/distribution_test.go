package options

import (
	"strings"
	"testing"
)

const subscriberText = `distribution:
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

const voterText = sharingText + `distribution:
  role: voter
  fan_out: 16
  snapshot_bytes_per_s: 1024
`

// TestDistributionIsReadOrRefusedWithItsLine guards against a section distribution with unusable
// values that is accepted, or refused without the line and the key at fault.
func TestDistributionIsReadOrRefusedWithItsLine(t *testing.T) {
	f, err := Parse("w.yaml", []byte(subscriberText))
	if err != nil {
		t.Fatal(err)
	}
	d := f.Distribution
	if d.Role != Subscriber || d.Parents["n1"] != "127.0.0.1:9002" || len(d.Scopes) != 2 || d.FanOut != 8 ||
		d.SnapshotBytesPerSecond != 16<<20 {
		t.Errorf("the section of a subscriber was read as %+v", d)
	}
	f, err = Parse("w.yaml", []byte(voterText))
	if err != nil || f.Distribution.Role != Voter || f.Distribution.FanOut != 16 ||
		f.Distribution.SnapshotBytesPerSecond != 1024 {
		t.Errorf("the section of a voter was read as %+v, error %v", f, err)
	}
	if _, err := Parse("w.yaml", []byte(strings.Replace(subscriberText, "[pricing, orders]", `["*"]`, 1))); err != nil {
		t.Errorf("a subscriber to all scopes was refused: %v", err)
	}
	for _, bad := range []struct{ text, old, new, want string }{
		{subscriberText, "role: subscriber", "role: leader",
			`w.yaml:2: distribution.role: "leader"; give voter or subscriber`},
		{subscriberText, "role: subscriber", "role: voter",
			"w.yaml:2: distribution.role: a voter is a member that shares the record"},
		{subscriberText, "role: subscriber", "rule: subscriber", `w.yaml:2: rule: unknown field "rule"`},
		{subscriberText, "name: s17", "name: n0", "w.yaml:5: distribution.parents.n0: is the subscriber itself"},
		{subscriberText, "name: s17", "name: " + strings.Repeat("s", 193),
			"w.yaml:3: distribution.name: has 193 bytes"},
		{subscriberText, "name: s17", "name: s@17", `w.yaml:3: distribution.name: "s@17" has a @`},
		{subscriberText, "    n0: 127.0.0.1:9001\n    n1: 127.0.0.1:9002", "    {}",
			"w.yaml:5: distribution.parents: names nobody"},
		{subscriberText, "9002", "9001",
			"w.yaml:6: distribution.parents.n1: 127.0.0.1:9001 is already the address of n0"},
		{subscriberText, "n1: 127.0.0.1:9002", "n1: 10.0.0.4:9002",
			"w.yaml:6: distribution.parents.n1: 10.0.0.4:9002 is not on loopback"},
		{subscriberText, "[pricing, orders]", "[]", "w.yaml:7: distribution.scopes: has 0"},
		{subscriberText, "[pricing, orders]", `[""]`, `w.yaml:7: distribution.scopes: ""; give`},
		{subscriberText, "[pricing, orders]", "[pricing, pricing]",
			`w.yaml:7: distribution.scopes: "pricing" stands there twice`},
		{subscriberText, "[pricing, orders]", `[pricing, "*"]`,
			`w.yaml:7: distribution.scopes: "*" stands for all of them`},
		{subscriberText, "listen: 127.0.0.1:9017", "listen: 9017",
			`w.yaml:8: distribution.listen: "9017" is no address`},

		{subscriberText, "listen: 127.0.0.1:9017\n  fan_out: 8\n  plain: true",
			"listen: 0.0.0.0:9017\n  certificate: c\n  key: k\n  authority: a",
			"w.yaml:8: distribution.listen: 0.0.0.0:9017 is nothing that others could dial"},

		{subscriberText, "listen: 127.0.0.1:9017\n  fan_out: 8\n  plain: true",
			"listen: :9017\n  certificate: c\n  key: k\n  authority: a",
			"w.yaml:8: distribution.listen: :9017 is nothing that others could dial"},
		{subscriberText, "listen: 127.0.0.1:9017", "listen: 0.0.0.0:9017",
			"w.yaml:8: distribution.listen: 0.0.0.0:9017 is not on loopback"},
		{subscriberText, "  listen: 127.0.0.1:9017\n", "", "w.yaml:8: distribution.fan_out: is for one that passes on"},
		{subscriberText, "fan_out: 8", "fan_out: 257", "w.yaml:9: distribution.fan_out: is 257"},
		{subscriberText, "  listen: 127.0.0.1:9017\n  fan_out: 8\n", "",
			"w.yaml:9: distribution.snapshot_bytes_per_s: is for one that passes on"},
		{subscriberText, "16777216", "1023",
			"w.yaml:11: distribution.snapshot_bytes_per_s: is 1023; give a number from 1024 to 1073741824"},
		{subscriberText, "16777216", "-1", "w.yaml:11: distribution.snapshot_bytes_per_s: is -1"},
		{voterText, ": 1024", ": 1073741825", "w.yaml:12: distribution.snapshot_bytes_per_s: is 1073741825"},
		{subscriberText, "plain: true", "plain: false", "w.yaml:2: distribution: needs certificate, key and authority"},
		{subscriberText, "plain: true", "plain: true\n  key: k.pem",
			"w.yaml:10: distribution.plain: cannot be combined with certificate, key and authority"},
		{voterText, "fan_out: 16", "scopes: [pricing]", "w.yaml:11: distribution.scopes: is only for subscribers"},
		{voterText, "fan_out: 16", "folder: /x", "w.yaml:11: distribution.folder: is only for subscribers"},
		{voterText, "fan_out: 16", "plain: true", "w.yaml:11: distribution.plain: is only for subscribers"},
	} {
		text := strings.Replace(bad.text, bad.old, bad.new, 1)
		if _, err := Parse("w.yaml", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), bad.want) {
			t.Errorf("%q instead of %q: got error %v, want one that starts with %q", bad.new, bad.old, err, bad.want)
		}
	}
}
