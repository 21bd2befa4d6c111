package options

import (
	"maps"
	"slices"
	"time"
)

// Sharing says with whom a controller shares the ownership of proxies.
type Sharing struct {
	Name        string            `yaml:"name"`        // ours among the members; LB_NAME where empty
	Members     map[string]string `yaml:"members"`     // addresses by name, ours as well; two at least
	Folder      string            `yaml:"folder"`      // for what outlasts the process; empty for nothing
	Certificate string            `yaml:"certificate"` // path of a PEM file that names the member
	Key         string            `yaml:"key"`         // path of its PEM file
	Authority   string            `yaml:"authority"`   // path of the PEM file of the authority that signed the members' certificates
	Plain       bool              `yaml:"plain"`       // plain text, on loopback alone, without the three above
	Lease       string            `yaml:"lease"`       // a duration; empty for the default

	lease time.Duration
}

// LeaseTime is how long a member waits for the replicated record before it goes on by itself; 0 for the default.
func (s *Sharing) LeaseTime() time.Duration { return s.lease }

const minMembers = 2

// Bounds of a lease: below, a slow answer is taken for a partition; above, drains wait too long in one.
const (
	minLease = 500 * time.Millisecond
	maxLease = 10 * time.Second
)

func (s *Sharing) check(where locator) error {
	if len(s.Members) < minMembers {
		return where.refuse("sharing.members", "has %d members; name at least two, each with its address, as n0: 10.0.0.4:9443", len(s.Members))
	}
	if _, ok := s.Members[s.Name]; s.Name != "" && !ok {
		return where.refuse("sharing.name", "%q is not among the members; give one of %v", s.Name, slices.Sorted(maps.Keys(s.Members)))
	}
	if err := checkAddresses(where, "sharing.members", s.Members, s.Plain); err != nil {
		return err
	}
	if err := checkCredentials(where, "sharing", s.Plain, s.Certificate, s.Key, s.Authority); err != nil {
		return err
	}
	return s.checkLease(where)
}

func (s *Sharing) checkLease(where locator) error {
	if s.Lease == "" {
		return nil
	}
	lease, err := time.ParseDuration(s.Lease)
	if err != nil || lease < minLease || lease > maxLease {
		return where.refuse("sharing.lease", "%q; give a time from %s to %s, as 1500ms", s.Lease, minLease, maxLease)
	}
	s.lease = lease
	return nil
}
