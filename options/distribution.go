package options

import (
	"net"
	"slices"
	"strings"
)

// Distribution says what part a controller has in the distribution of configuration: it votes on changes, or subscribes
// to them.
type Distribution struct {
	Role        string            `yaml:"role"`
	Name        string            `yaml:"name"`
	Parents     map[string]string `yaml:"parents"`
	Scopes      []string          `yaml:"scopes"`
	Listen      string            `yaml:"listen"`
	Folder      string            `yaml:"folder"`
	Certificate string            `yaml:"certificate"`
	Key         string            `yaml:"key"`
	Authority   string            `yaml:"authority"`
	Plain       bool              `yaml:"plain"`
	FanOut      int               `yaml:"fan_out"`
	// SnapshotPace is how many bytes a second all snapshots to subscribers take together; 0 is as usual.
	SnapshotPace int `yaml:"snapshot_bytes_per_s"`
}

// Roles that a controller can have.
const (
	Voter      = "voter"
	Subscriber = "subscriber"
)

// AllScopes stands for all scopes, as the only one that is named.
const AllScopes = "*"

// Bounds of the options of distribution.
const (
	mostFanOut = 256
	leastPace  = 1 << 10 // bytes a second
	mostPace   = 1 << 30
	mostScopes = 4096
	mostScope  = 256 // bytes
	mostName   = 192 // bytes
	separator  = "@" // between a name and an address, where nodes name each other
)

func (d *Distribution) check(l positions, sharing *Sharing) error {
	if d.FanOut < 0 || d.FanOut > mostFanOut {
		return l.problem("distribution.fan_out", "is %d; give a number from 1 to %d, or leave it out", d.FanOut, mostFanOut)
	}
	if d.SnapshotPace != 0 && (d.SnapshotPace < leastPace || d.SnapshotPace > mostPace) {
		return l.problem("distribution.snapshot_bytes_per_s", "is %d; give a number from %d to %d, or leave it out", d.SnapshotPace, leastPace,
			mostPace)
	}
	switch d.Role {
	case Voter:
		return d.checkVoter(l, sharing)
	case Subscriber:
		return d.checkSubscriber(l)
	}
	return l.problem("distribution.role", "%q; give voter or subscriber", d.Role)
}

// checkVoter refuses what a voter has from sharing already.
func (d *Distribution) checkVoter(l positions, sharing *Sharing) error {
	if sharing == nil {
		return l.problem("distribution.role", "a voter is a member that shares the record; add the section sharing, or subscribe")
	}
	for _, extra := range []struct {
		key   string
		given bool
	}{
		{"name", d.Name != ""}, {"parents", len(d.Parents) > 0}, {"scopes", len(d.Scopes) > 0}, {"listen", d.Listen != ""}, {"folder", d.Folder != ""},
		{"certificate", d.Certificate != ""}, {"key", d.Key != ""}, {"authority", d.Authority != ""}, {"plain", d.Plain},
	} {
		if extra.given {
			return l.problem("distribution."+extra.key, "is for subscribers; a voter has what the section sharing says")
		}
	}
	return nil
}

func (d *Distribution) checkSubscriber(l positions) error {
	if len(d.Name) > mostName {
		return l.problem("distribution.name", "has %d bytes; give a name of %d at most", len(d.Name), mostName)
	}
	if strings.Contains(d.Name, separator) {
		return l.problem("distribution.name", "%q has a %s, which parts names from addresses; leave it out", d.Name, separator)
	}
	if len(d.Parents) == 0 {
		return l.problem("distribution.parents", "names nobody; give voters or subscribers that pass on, each with its address, as n0: 10.0.0.4:9443")
	}
	if _, itself := d.Parents[d.Name]; itself {
		return l.problem("distribution.parents."+d.Name, "is this subscriber itself; name others")
	}
	if err := d.checkScopes(l); err != nil {
		return err
	}
	if err := checkAddresses(l, "distribution.parents", d.Parents, d.Plain); err != nil {
		return err
	}
	if d.Listen != "" {
		if err := checkAddress(l, "distribution.listen", d.Listen, d.Plain); err != nil {
			return err
		}
		host, _, _ := net.SplitHostPort(d.Listen)
		if ip := net.ParseIP(host); host == "" || ip != nil && ip.IsUnspecified() {
			return l.problem("distribution.listen", "%s is nothing that others could dial; give the address by which they do", d.Listen)
		}
	} else if d.FanOut > 0 {
		return l.problem("distribution.fan_out", "is for one that passes on; give listen as well, or leave it out")
	} else if d.SnapshotPace > 0 {
		return l.problem("distribution.snapshot_bytes_per_s", "is for one that passes on; give listen as well, or leave it out")
	}
	given := 0
	for _, path := range []string{d.Certificate, d.Key, d.Authority} {
		if path != "" {
			given++
		}
	}
	return checkCredentials(l, "distribution", d.Plain, given)
}

func (d *Distribution) checkScopes(l positions) error {
	if len(d.Scopes) == 0 || len(d.Scopes) > mostScopes {
		return l.problem("distribution.scopes", "has %d; name from 1 to %d that this controller serves", len(d.Scopes), mostScopes)
	}
	for i, scope := range d.Scopes {
		switch {
		case scope == "" || len(scope) > mostScope:
			return l.problem("distribution.scopes", "%q; give a name of 1 to %d bytes", scope, mostScope)
		case scope == AllScopes && len(d.Scopes) > 1:
			return l.problem("distribution.scopes", "%q stands for all of them; give it alone", scope)
		case slices.Contains(d.Scopes[:i], scope):
			return l.problem("distribution.scopes", "%q stands there twice; name each once", scope)
		}
	}
	return nil
}

// checkAddress refuses what is no address, and one off loopback where plain text is spoken.
func checkAddress(l positions, key, address string, plain bool) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		return l.problem(key, "%q is no address; give host:port", address)
	}
	if ip := net.ParseIP(host); plain && (ip == nil || !ip.IsLoopback()) {
		return l.problem(key, "%s is not on loopback, where alone plain text may be spoken; give certificate, key and authority", address)
	}
	return nil
}
