package options

import (
	"strings"
	"testing"
	"time"
)

const sharingText = `# who shares
sharing:
  name: n0
  members:
    n0: 127.0.0.1:9001
    n1: 127.0.0.1:9002
  plain: true
  lease: 2s
`

// TestSharingIsReadOrRefusedWithItsLine guards against a section sharing with unusable values that
// is accepted, or refused without the line and the key at fault.
func TestSharingIsReadOrRefusedWithItsLine(t *testing.T) {
	f, err := Parse("w.yaml", []byte(sharingText))
	if err != nil || f.Sharing.LeaseTime() != 2*time.Second || f.Sharing.Members["n1"] != "127.0.0.1:9002" {
		t.Fatalf("Parse returned %+v and error %v, want a lease of 2 s and the member n1 at 127.0.0.1:9002", f, err)
	}
	if f, err := Parse("w.yaml", nil); err != nil || f.Sharing != nil {
		t.Errorf("an empty file: Parse returned %+v and error %v, want no section and no error", f, err)
	}
	for _, bad := range []struct{ old, new, want string }{
		{"  lease: 2s", "  leese: 2s",
			`w.yaml:8: leese: unknown field "leese"; the keys are those of deploy/wheelrill.yaml`},
		{"lease: 2s", "lease: soon", `w.yaml:8: sharing.lease: "soon"; give a time from 500ms to 10s, as 1500ms`},
		{"lease: 2s", "lease: 1m", `w.yaml:8: sharing.lease: "1m"; give`},
		{"name: n0", "name: n7", `w.yaml:3: sharing.name: "n7" is not among the members; give one of [n0 n1]`},
		{"    n1: 127.0.0.1:9002\n", "", "w.yaml:5: sharing.members: has 1 members; name at least two"},
		{"127.0.0.1:9002", "127.0.0.1", `w.yaml:6: sharing.members.n1: "127.0.0.1" is no address; give host:port`},
		{"127.0.0.1:9002", "127.0.0.1:9001",
			"w.yaml:6: sharing.members.n1: 127.0.0.1:9001 is already the address of n0; give each its own address"},
		{"127.0.0.1:9002", "10.0.0.4:9002", "w.yaml:6: sharing.members.n1: 10.0.0.4:9002 is not on loopback"},
		{"plain: true", "plain: false", "w.yaml:3: sharing: needs certificate, key and authority"},
		{"plain: true", "plain: true\n  key: k.pem",
			"w.yaml:7: sharing.plain: cannot be combined with certificate, key and authority"},
		{"plain: true", "plain: [1", "w.yaml:"},
		{"members:\n", "members: 4\n", "w.yaml:"},
	} {
		text := strings.Replace(sharingText, bad.old, bad.new, 1)
		if _, err := Parse("w.yaml", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), bad.want) {
			t.Errorf("%q instead of %q: got error %v, want one that starts with %q", bad.new, bad.old, err, bad.want)
		}
	}
	if _, err := Read("no/such.yaml"); err == nil || !strings.Contains(err.Error(), "no/such.yaml: cannot be read") {
		t.Errorf("a missing file: got error %v, want \"no/such.yaml: cannot be read\"", err)
	}
}
