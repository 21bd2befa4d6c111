package options

import (
	"net"
	"slices"
	"strings"
)

// Distribution configures how a controller takes part in the distribution of configuration: it
// votes on changes, or subscribes to them. A voter has only Role, FanOut and
// SnapshotBytesPerSecond; the other fields are for subscribers.
type Distribution struct {
	Role    string            `yaml:"role"`    // role of the controller: Voter or Subscriber
	Name    string            `yaml:"name"`    // name of the subscriber; if empty, the value of LB_NAME is used
	Parents map[string]string `yaml:"parents"` // addresses of the parents to try first, by name
	Scopes  []string          `yaml:"scopes"`  // scopes that the subscriber subscribes to, or only AllScopes
	// Listen is the address at which the subscriber accepts other subscribers; if Listen is
	// empty, the subscriber accepts no other subscribers.
	Listen      string `yaml:"listen"`
	Folder      string `yaml:"folder"`      // folder for configuration that survives restarts; if empty, none survives
	Certificate string `yaml:"certificate"` // path of the PEM certificate, issued to the subscriber's name
	Key         string `yaml:"key"`         // path of the PEM private key of Certificate
	Authority   string `yaml:"authority"`   // path of the PEM certificate that signs all nodes' certificates
	Plain       bool   `yaml:"plain"`       // use plain text instead of TLS; only for loopback addresses
	FanOut      int    `yaml:"fan_out"`     // maximum number of direct subscribers; 0 for the default
	// SnapshotBytesPerSecond limits the total rate at which snapshots are sent to all subscribers;
	// 0 for the default.
	SnapshotBytesPerSecond int `yaml:"snapshot_bytes_per_s"`
}

// Values of Distribution.Role.
const (
	Voter      = "voter"      // a voter is a member of the replicated record, and accepts changes
	Subscriber = "subscriber" // a subscriber receives the changes that the voters accepted
)

// AllScopes stands for all scopes. It is valid only as the single item of Distribution.Scopes.
const AllScopes = "*"

// Limits of the values in the section distribution.
const (
	maxFanOut       = 256
	minSnapshotRate = 1 << 10 // minimum of SnapshotBytesPerSecond, in bytes per second
	maxSnapshotRate = 1 << 30 // maximum of SnapshotBytesPerSecond, in bytes per second
	maxScopes       = 4096
	maxScopeSize    = 256 // maximum length of the name of a scope, in bytes
	maxNameSize     = 192 // maximum length of the name of a subscriber, in bytes

	// peerSeparator separates the name and the address of a node in the text that identifies the
	// node to others. It equals consensus.PeerSeparator. Package controller also checks that no
	// name contains the separator.
	peerSeparator = "@"
)

func (d *Distribution) check(loc locator, sharing *Sharing) error {
	if d.FanOut < 0 || d.FanOut > maxFanOut {
		return loc.keyError("distribution.fan_out",
			"is %d; give a number from 1 to %d, or leave it out", d.FanOut, maxFanOut)
	}
	if d.SnapshotBytesPerSecond != 0 &&
		(d.SnapshotBytesPerSecond < minSnapshotRate || d.SnapshotBytesPerSecond > maxSnapshotRate) {
		return loc.keyError("distribution.snapshot_bytes_per_s", "is %d; give a number from %d to %d, or leave it out",
			d.SnapshotBytesPerSecond, minSnapshotRate, maxSnapshotRate)
	}
	switch d.Role {
	case Voter:
		return d.checkVoter(loc, sharing)
	case Subscriber:
		return d.checkSubscriber(loc)
	}
	return loc.keyError("distribution.role", "%q; give voter or subscriber", d.Role)
}

// checkVoter rejects keys that are only for subscribers: a voter takes these values from the
// section sharing. Add each new key for subscribers to the table below; a key that is missing in
// the table would be accepted at a voter without any effect.
func (d *Distribution) checkVoter(loc locator, sharing *Sharing) error {
	if sharing == nil {
		return loc.keyError("distribution.role",
			"a voter is a member that shares the record; add the section sharing, or subscribe")
	}
	for _, subscriberKey := range []struct {
		name    string
		present bool
	}{
		{"name", d.Name != ""}, {"parents", len(d.Parents) > 0}, {"scopes", len(d.Scopes) > 0},
		{"listen", d.Listen != ""}, {"folder", d.Folder != ""}, {"certificate", d.Certificate != ""},
		{"key", d.Key != ""}, {"authority", d.Authority != ""}, {"plain", d.Plain},
	} {
		if subscriberKey.present {
			return loc.keyError("distribution."+subscriberKey.name,
				"is only for subscribers; leave it out, a voter uses the section sharing")
		}
	}
	return nil
}

func (d *Distribution) checkSubscriber(loc locator) error {
	for _, check := range []func(locator) error{
		d.checkName, d.checkParents, d.checkScopes, d.checkParentAddresses, d.checkListen,
	} {
		if err := check(loc); err != nil {
			return err
		}
	}
	return checkCredentials(loc, "distribution", d.Plain, d.Certificate, d.Key, d.Authority)
}

func (d *Distribution) checkName(loc locator) error {
	if len(d.Name) > maxNameSize {
		return loc.keyError("distribution.name", "has %d bytes; give a name of %d at most", len(d.Name), maxNameSize)
	}
	if strings.Contains(d.Name, peerSeparator) {
		return loc.keyError("distribution.name",
			"%q has a %s, which parts names from addresses; leave it out", d.Name, peerSeparator)
	}
	return nil
}

func (d *Distribution) checkParents(loc locator) error {
	if len(d.Parents) == 0 {
		return loc.keyError("distribution.parents",
			"names nobody; give voters or subscribers that pass on, each with its address, as n0: 10.0.0.4:9443")
	}
	if _, listsItself := d.Parents[d.Name]; listsItself {
		return loc.keyError("distribution.parents."+d.Name,
			"is the subscriber itself; give voters or other subscribers")
	}
	return nil
}

func (d *Distribution) checkParentAddresses(loc locator) error {
	return checkAddresses(loc, "distribution.parents", d.Parents, d.Plain)
}

func (d *Distribution) checkScopes(loc locator) error {
	if len(d.Scopes) == 0 || len(d.Scopes) > maxScopes {
		return loc.keyError("distribution.scopes",
			"has %d; name from 1 to %d that this controller serves", len(d.Scopes), maxScopes)
	}
	for i, scope := range d.Scopes {
		switch {
		case scope == "" || len(scope) > maxScopeSize:
			return loc.keyError("distribution.scopes", "%q; give a name of 1 to %d bytes", scope, maxScopeSize)
		case scope == AllScopes && len(d.Scopes) > 1:
			return loc.keyError("distribution.scopes", "%q stands for all of them; give it alone", scope)
		case slices.Contains(d.Scopes[:i], scope):
			return loc.keyError("distribution.scopes", "%q stands there twice; name each once", scope)
		}
	}
	return nil
}

// checkListen rejects an address that other nodes cannot dial. If the address is empty, it rejects
// FanOut and SnapshotBytesPerSecond, which concern nodes that accept subscribers.
func (d *Distribution) checkListen(loc locator) error {
	switch {
	case d.Listen != "":
		return d.checkListenAddress(loc)
	case d.FanOut > 0:
		return loc.keyError("distribution.fan_out", "is for one that passes on; give listen as well, or leave it out")
	case d.SnapshotBytesPerSecond > 0:
		return loc.keyError("distribution.snapshot_bytes_per_s",
			"is for one that passes on; give listen as well, or leave it out")
	}
	return nil
}

func (d *Distribution) checkListenAddress(loc locator) error {
	if err := checkAddress(loc, "distribution.listen", d.Listen, d.Plain); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(d.Listen) // the error is nil, because checkAddress has accepted d.Listen
	ip := net.ParseIP(host)
	if host == "" || ip != nil && ip.IsUnspecified() {
		return loc.keyError("distribution.listen",
			"%s is nothing that others could dial; give the address by which they do", d.Listen)
	}
	return nil
}
