package options

import (
	"maps"
	"slices"
	"time"
)

// Sharing configures the controllers (members) that share the ownership of proxies.
type Sharing struct {
	Name string `yaml:"name"` // name of this controller in Members; if empty, the value of LB_NAME is used
	// Members has the address of each member by name, including this controller. At least two
	// members are required.
	Members     map[string]string `yaml:"members"`
	Folder      string            `yaml:"folder"`      // folder for state that survives restarts; if empty, none survives
	Certificate string            `yaml:"certificate"` // path of the PEM certificate, issued to the member's name
	Key         string            `yaml:"key"`         // path of the PEM private key of Certificate
	Authority   string            `yaml:"authority"`   // path of the PEM certificate that signs all members' certificates
	Plain       bool              `yaml:"plain"`       // use plain text instead of TLS; only for loopback addresses
	// Lease is a duration as text, such as 1500ms, see LeaseTime; if Lease is empty, the default
	// applies.
	Lease string `yaml:"lease"`

	lease time.Duration // the duration that Lease contains
}

// LeaseTime returns how long a member waits for the replicated record before the member continues
// without the record; the result 0 stands for the default.
func (s *Sharing) LeaseTime() time.Duration { return s.lease }

const minMembers = 2

// Limits of a lease. With a lease below minLease, a slow answer is mistaken for a network
// partition; with a lease above maxLease, drains wait too long during a partition.
const (
	minLease = 500 * time.Millisecond
	maxLease = 10 * time.Second
)

func (s *Sharing) check(loc locator) error {
	if len(s.Members) < minMembers {
		return loc.keyError("sharing.members",
			"has %d members; name at least two, each with its address, as n0: 10.0.0.4:9443", len(s.Members))
	}
	if _, ok := s.Members[s.Name]; s.Name != "" && !ok {
		return loc.keyError("sharing.name", "%q is not among the members; give one of %v",
			s.Name, slices.Sorted(maps.Keys(s.Members)))
	}
	if err := checkAddresses(loc, "sharing.members", s.Members, s.Plain); err != nil {
		return err
	}
	if err := checkCredentials(loc, "sharing", s.Plain, s.Certificate, s.Key, s.Authority); err != nil {
		return err
	}
	return s.checkLease(loc)
}

func (s *Sharing) checkLease(loc locator) error {
	if s.Lease == "" {
		return nil
	}
	lease, err := time.ParseDuration(s.Lease)
	if err != nil || lease < minLease || lease > maxLease {
		return loc.keyError("sharing.lease", "%q; give a time from %s to %s, as 1500ms", s.Lease, minLease, maxLease)
	}
	s.lease = lease
	return nil
}
