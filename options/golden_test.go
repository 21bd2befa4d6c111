package options

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"wheelrill/internal/golden"
)

// The options files below have every key that a member, a voter or a subscriber may have, one key
// per line.
const (
	sharingKeys = `sharing:
  name: n0
  members:
    n0: 10.0.0.4:9443
    n1: 10.0.0.5:9443
  folder: /var/lib/w
  certificate: n0.pem
  key: n0-key.pem
  authority: authority.pem
  plain: false
  lease: 1500ms
`
	voterKeys = sharingKeys + `distribution:
  role: voter
  fan_out: 16
  snapshot_bytes_per_s: 16384
`
	subscriberKeys = `distribution:
  role: subscriber
  name: s17
  parents:
    n0: 10.0.0.4:9443
    n1: 10.0.0.5:9443
  scopes: [pricing, orders]
  listen: 10.0.1.17:9443
  fan_out: 16
  snapshot_bytes_per_s: 16384
  folder: /var/lib/w
  certificate: s17.pem
  key: s17-key.pem
  authority: authority.pem
  plain: false
`
	plainKeys = `distribution:
  role: subscriber
  name: s17
  parents:
    n0: 127.0.0.1:9001
    n1: 127.0.0.1:9002
  scopes: ["*"]
  listen: 127.0.0.1:9017
  plain: true
`
)

// unknownFieldError matches the start of an error about an unknown key.
var unknownFieldError = regexp.MustCompile(`w\.yaml:\d+: \w+: unknown field "\w+";`)

// parseResult parses an options file and returns all values under their keys, or the error.
func parseResult(text string) string {
	f, err := Parse("w.yaml", []byte(text))
	if err != nil {
		return "error: " + err.Error() + "\n"
	}
	out := ""
	if s := f.Sharing; s != nil {
		out += fmt.Sprintf("sharing name %q members %v folder %q certificate %q key %q authority %q "+
			"plain %v lease %v, read as %v\n", s.Name, s.Members, s.Folder, s.Certificate, s.Key, s.Authority,
			s.Plain, s.Lease, s.LeaseTime())
	}
	if d := f.Distribution; d != nil {
		out += fmt.Sprintf("distribution role %q name %q parents %v scopes %q listen %q folder %q certificate %q "+
			"key %q authority %q plain %v fan_out %d snapshot_bytes_per_s %d\n",
			d.Role, d.Name, d.Parents, d.Scopes, d.Listen, d.Folder, d.Certificate, d.Key, d.Authority, d.Plain, d.FanOut, d.SnapshotBytesPerSecond)
	}
	return out
}

// TestEveryKeyIsReadAndRefusedAsInGoldenFiles guards against a key that is no longer read, or whose
// values are accepted or refused differently. It removes and duplicates each line of each file,
// misspells the key of each line, and replaces the value of each key; the golden files have the
// resulting values, or the error with line and key.
func TestEveryKeyIsReadAndRefusedAsInGoldenFiles(t *testing.T) {
	values := []string{"word", `""`, "-1", "0", "1", "257", "1023", "1073741825", "3.5", "true",
		"[]", "[a]", "[a, a]", `[a, "*"]`, "{}", "{a: b}", "{a: 127.0.0.1:1, b: 127.0.0.1:1}", "null", "[",
		"10m", "499ms", "10s", "127.0.0.1:9017", "0.0.0.0:9017", ":9017", "10.0.0.4", "voter", "subscriber",
		"n@1", strings.Repeat("s", 193)}
	for _, file := range []struct{ name, text string }{
		{"sharing", sharingKeys}, {"voter", voterKeys}, {"subscriber", subscriberKeys}, {"plain", plainKeys},
	} {
		t.Run(file.name, func(t *testing.T) {
			text := "unchanged\n  " + parseResult(file.text)
			lines := strings.SplitAfter(strings.TrimSuffix(file.text, "\n"), "\n")
			for i, line := range lines {
				replaceLine := func(replacement string) string {
					return strings.Join(lines[:i], "") + replacement + strings.Join(lines[i+1:], "")
				}
				key, _, _ := strings.Cut(line, ":")
				title := fmt.Sprintf("line %d, %s, ", i+1, strings.TrimSpace(key))
				leftOut := parseResult(replaceLine(""))
				// If the line that starts a section is left out, several keys are unknown, and the
				// error names an arbitrary one of these keys.
				if !strings.HasPrefix(line, " ") {
					leftOut = unknownFieldError.ReplaceAllString(leftOut, "w.yaml: KEY: unknown field;")
				}
				text += title + "left out\n  " + leftOut
				text += title + "misspelled\n  " + parseResult(replaceLine(strings.Replace(line, ":", "s:", 1)))
				text += title + "twice\n  " + parseResult(replaceLine(strings.TrimSuffix(line, "\n")+"\n"+line))
				for _, value := range values {
					text += title + value + "\n  " + parseResult(replaceLine(key+": "+value+"\n"))
				}
			}
			golden.Compare(t, file.name+".golden", text)
		})
	}
}
