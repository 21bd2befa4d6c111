package options

import (
	"net"
	"slices"
	"strings"
)

// Distribution says what part a controller has in the distribution of configuration: it votes on changes, or subscribes
// to them. A voter has Role, FanOut and SnapshotPace alone; the rest is for subscribers.
type Distribution struct {
	Role        string            `yaml:"role"`        // Voter or Subscriber
	Name        string            `yaml:"name"`        // LB_NAME where empty
	Parents     map[string]string `yaml:"parents"`     // addresses by name, to begin with
	Scopes      []string          `yaml:"scopes"`      // that it is given, or AllScopes
	Listen      string            `yaml:"listen"`      // address for its own subscribers; empty for none
	Folder      string            `yaml:"folder"`      // for the configuration, across restarts; empty for nothing
	Certificate string            `yaml:"certificate"` // path of a PEM file that names the subscriber
	Key         string            `yaml:"key"`         // path of its PEM file
	Authority   string            `yaml:"authority"`   // path of the PEM file of the authority that signed the certificates, the voters' as well
	Plain       bool              `yaml:"plain"`       // plain text, on loopback alone, without the three above
	FanOut      int               `yaml:"fan_out"`     // subscribers at most; 0 for the default
	// SnapshotBytesPerSecond is how many bytes a second all snapshots to subscribers take together; 0 for the default.
	SnapshotBytesPerSecond int `yaml:"snapshot_bytes_per_s"`
}

// Roles that a controller can have.
const (
	Voter      = "voter"      // a member of the replicated record, which accepts changes
	Subscriber = "subscriber" // is given what the voters accept
)

// AllScopes stands for all scopes, as the only one that is named.
const AllScopes = "*"

// Bounds of the options of distribution.
const (
	maxFanOut       = 256
	minSnapshotPace = 1 << 10 // bytes a second
	maxSnapshotPace = 1 << 30 // bytes a second
	maxScopes       = 4096
	maxScopeSize    = 256 // bytes
	maxNameSize     = 192 // bytes
	separator       = "@" // between a name and an address, where nodes name each other: consensus.PeerSeparator, which is checked again there
)

func (d *Distribution) check(where locator, sharing *Sharing) error {
	if d.FanOut < 0 || d.FanOut > maxFanOut {
		return where.refuse("distribution.fan_out", "is %d; give a number from 1 to %d, or leave it out", d.FanOut, maxFanOut)
	}
	if d.SnapshotBytesPerSecond != 0 && (d.SnapshotBytesPerSecond < minSnapshotPace || d.SnapshotBytesPerSecond > maxSnapshotPace) {
		return where.refuse("distribution.snapshot_bytes_per_s", "is %d; give a number from %d to %d, or leave it out", d.SnapshotBytesPerSecond,
			minSnapshotPace, maxSnapshotPace)
	}
	switch d.Role {
	case Voter:
		return d.checkVoter(where, sharing)
	case Subscriber:
		return d.checkSubscriber(where)
	}
	return where.refuse("distribution.role", "%q; give voter or subscriber", d.Role)
}

// checkVoter refuses what a voter has from sharing already. A new key of subscribers belongs into its table: one that is
// left out would be accepted at a voter, and do nothing.
func (d *Distribution) checkVoter(where locator, sharing *Sharing) error {
	if sharing == nil {
		return where.refuse("distribution.role", "a voter is a member that shares the record; add the section sharing, or subscribe")
	}
	for _, option := range []struct {
		key   string
		given bool
	}{
		{"name", d.Name != ""}, {"parents", len(d.Parents) > 0}, {"scopes", len(d.Scopes) > 0}, {"listen", d.Listen != ""}, {"folder", d.Folder != ""},
		{"certificate", d.Certificate != ""}, {"key", d.Key != ""}, {"authority", d.Authority != ""}, {"plain", d.Plain},
	} {
		if option.given {
			return where.refuse("distribution."+option.key, "is for subscribers; a voter has what the section sharing says")
		}
	}
	return nil
}

func (d *Distribution) checkSubscriber(where locator) error {
	for _, check := range []func(locator) error{d.checkName, d.checkParents, d.checkScopes, d.checkParentAddresses, d.checkListen} {
		if err := check(where); err != nil {
			return err
		}
	}
	return checkCredentials(where, "distribution", d.Plain, d.Certificate, d.Key, d.Authority)
}

func (d *Distribution) checkName(where locator) error {
	if len(d.Name) > maxNameSize {
		return where.refuse("distribution.name", "has %d bytes; give a name of %d at most", len(d.Name), maxNameSize)
	}
	if strings.Contains(d.Name, separator) {
		return where.refuse("distribution.name", "%q has a %s, which parts names from addresses; leave it out", d.Name, separator)
	}
	return nil
}

func (d *Distribution) checkParents(where locator) error {
	if len(d.Parents) == 0 {
		return where.refuse("distribution.parents", "names nobody; give voters or subscribers that pass on, each with its address, as n0: 10.0.0.4:9443")
	}
	if _, itself := d.Parents[d.Name]; itself {
		return where.refuse("distribution.parents."+d.Name, "is this subscriber itself; name others")
	}
	return nil
}

func (d *Distribution) checkParentAddresses(where locator) error {
	return checkAddresses(where, "distribution.parents", d.Parents, d.Plain)
}

func (d *Distribution) checkScopes(where locator) error {
	if len(d.Scopes) == 0 || len(d.Scopes) > maxScopes {
		return where.refuse("distribution.scopes", "has %d; name from 1 to %d that this controller serves", len(d.Scopes), maxScopes)
	}
	for i, scope := range d.Scopes {
		switch {
		case scope == "" || len(scope) > maxScopeSize:
			return where.refuse("distribution.scopes", "%q; give a name of 1 to %d bytes", scope, maxScopeSize)
		case scope == AllScopes && len(d.Scopes) > 1:
			return where.refuse("distribution.scopes", "%q stands for all of them; give it alone", scope)
		case slices.Contains(d.Scopes[:i], scope):
			return where.refuse("distribution.scopes", "%q stands there twice; name each once", scope)
		}
	}
	return nil
}

// checkListen refuses an address that others could not dial, and what is of use only with one.
func (d *Distribution) checkListen(where locator) error {
	switch {
	case d.Listen != "":
		return d.checkListenAddress(where)
	case d.FanOut > 0:
		return where.refuse("distribution.fan_out", "is for one that passes on; give listen as well, or leave it out")
	case d.SnapshotBytesPerSecond > 0:
		return where.refuse("distribution.snapshot_bytes_per_s", "is for one that passes on; give listen as well, or leave it out")
	}
	return nil
}

func (d *Distribution) checkListenAddress(where locator) error {
	if err := checkAddress(where, "distribution.listen", d.Listen, d.Plain); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(d.Listen) // checked above
	ip := net.ParseIP(host)
	if host == "" || ip != nil && ip.IsUnspecified() {
		return where.refuse("distribution.listen", "%s is nothing that others could dial; give the address by which they do", d.Listen)
	}
	return nil
}
