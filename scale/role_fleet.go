package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"wheelrill/consensus"
	"wheelrill/distribution"
	"wheelrill/fake"
	"wheelrill/internal/process"
)

// roleFleet is a deployment in which one voter, one distributor and one controller are real
// processes, and all other nodes are hollow. Not safe for concurrent use.
type roleFleet struct {
	options     Options
	folder      string // folder of the logs, the options files and the voters' records
	discovery   *fake.Discovery
	content     *content
	propagation *propagation
	addresses   []string                     // addresses of the voters; the real voter is the last one
	listen      map[string]string            // address at which the process of each role accepts children, by role
	processes   map[string]*listedController // the three real processes, by role
	hollow      []*hollowMember              // members of the record, one for each hollow voter
	dialler     *consensus.Subscriber        // connects the hollow children to the real parents
	children    []*hollowSubscriber          // hollow subscribers below the real distributor and controller
	running     sync.WaitGroup               // waits for the goroutines of the hollow voters; stop ends these goroutines
	stop        context.CancelFunc
	ready       map[string]time.Duration // time from the start of a process until it had its configuration, by role
}

// newRoleFleet prepares a deployment whose content has about the given total number of entries.
// newRoleFleet starts discovery, and no other part of the deployment.
func newRoleFleet(size int, folder string, o Options) (r *roleFleet, err error) {
	shape := contentShape{groups: targetGroups, entriesPerGroup: max(1, size/targetGroups)}
	r = &roleFleet{options: o, folder: folder, content: newContent(shape, o.Seed), listen: map[string]string{},
		processes: map[string]*listedController{}, ready: map[string]time.Duration{}, stop: func() {}}
	r.propagation = newPropagation(r.content)
	if r.dialler, err = consensus.NewSubscriber(consensus.Credentials{}); err != nil {
		return nil, err
	}
	free, err := process.FreeAddresses(o.Voters + 2 + 3)
	if err != nil {
		return nil, err
	}
	r.addresses = free[:o.Voters]
	r.listen[distributorRole] = free[o.Voters]
	r.listen[controllerRole] = free[o.Voters+1]
	if r.discovery, _, err = newDiscovery(backendsServed); err != nil {
		return nil, err
	}
	for i, role := range []string{voterRole, distributorRole, controllerRole} {
		megabytes := dedicatedNodeMegabytes
		if role == controllerRole {
			megabytes = maxMegabytes
		}
		c, err := newListedController(listedConfig{
			name:      role,
			listen:    free[o.Voters+2+i],
			discovery: r.discovery.Address(),
			folder:    folder,
			megabytes: megabytes,
			seed:      o.Seed + uint64(i) + 1,
			program:   o.Program,
		})
		if err != nil {
			r.close()
			return nil, err
		}
		path := filepath.Join(folder, role+".yaml")
		if err := os.WriteFile(path, []byte(r.optionsOf(role)), 0o600); err != nil {
			r.close()
			return nil, err
		}
		c.process.Args = []string{"serve", "--options", path}
		r.processes[role] = c
	}
	return r, nil
}

// voterNames returns the names of all voters. The real voter is the last one.
func (r *roleFleet) voterNames() (names []string) {
	for i := range r.addresses {
		names = append(names, voterName(i))
	}
	return names
}

// members returns the addresses of all voters, by the name of the voter.
func (r *roleFleet) members() map[string]string {
	addressOf := map[string]string{}
	for i, name := range r.voterNames() {
		addressOf[name] = r.addresses[i]
	}
	return addressOf
}

// optionsOf returns the text of the options file for the process of a role.
func (r *roleFleet) optionsOf(role string) string {
	var members strings.Builder
	for i, name := range r.voterNames() {
		fmt.Fprintf(&members, "    %s: %s\n", name, r.addresses[i])
	}
	snapshotRate := fmt.Sprintf("  snapshot_bytes_per_s: %d\n", dedicatedSnapshotRate)
	switch role {
	case voterRole:
		return fmt.Sprintf("sharing:\n  plain: true\n  name: %s\n  lease: %s\n  folder: %s\n  members:\n%sdistribution:\n  role: voter\n  fan_out: %d\n%s",
			voterName(len(r.addresses)-1), voterLease, filepath.Join(r.folder, "voter"), members.String(),
			maxFanOut, snapshotRate)
	case distributorRole:
		return fmt.Sprintf("distribution:\n  role: subscriber\n  name: %s\n  plain: true\n  scopes: [\"*\"]\n  listen: %s\n  fan_out: %d\n%s  parents:\n%s",
			role, r.listen[role], maxFanOut, snapshotRate, members.String())
	}
	return fmt.Sprintf("distribution:\n  role: subscriber\n  name: %s\n  plain: true\n  scopes: [%s, %s]\n  listen: %s\n  parents:\n    %s: %s\n",
		role, commonScope, groupScope(0), r.listen[role], distributorRole, r.listen[distributorRole])
}

// start starts the voters, proposes the whole content, and then starts the distributor, the
// controller, and the hollow children of both.
func (r *roleFleet) start(ctx context.Context) error {
	if err := r.startVoters(ctx); err != nil {
		return err
	}
	for _, entries := range r.content.initial() {
		if err := r.propose(ctx, entries); err != nil {
			return err
		}
	}
	for _, role := range []string{distributorRole, controllerRole} {
		if err := r.startRole(ctx, role); err != nil {
			return err
		}
	}
	for i := range distributorChildren {
		r.addChild(distributorRole, i, 1+i%(targetGroups-1))
	}
	for i := range controllerChildren {
		r.addChild(controllerRole, i, 0)
	}
	if !await(ctx, rolesReadyTimeout, func() bool { return countWaiting(r.children) == 0 }) {
		return fmt.Errorf("%d children have no configuration after %s: %s",
			countWaiting(r.children), rolesReadyTimeout, describeWaiting(r.children))
	}
	return nil
}

// startVoters starts the hollow voters and the real voter, and waits until all of them have quorum.
func (r *roleFleet) startVoters(ctx context.Context) error {
	ctx, r.stop = context.WithCancel(ctx)
	realVoter := r.processes[voterRole]
	if err := realVoter.start(r.folder); err != nil {
		return err
	}
	names := r.voterNames()
	for i, name := range names[:len(names)-1] {
		node := newVoterTransport(consensus.Peer{Name: name, Address: r.addresses[i]}.String(), dedicatedNodeLimits())
		r.running.Go(func() { node.Run(ctx) })
		member, err := startHollowMember(ctx, &r.running, consensus.Config{Name: name, Members: r.members(),
			Folder: filepath.Join(r.folder, name), Distribution: voterDistribution{node, r.content}}, voterLease)
		if err != nil {
			return err
		}
		r.hollow = append(r.hollow, member)
	}
	hasQuorum := func() bool {
		for _, m := range r.hollow {
			if !m.hasQuorum.Load() {
				return false
			}
		}
		line, ok := realVoter.lastLine(logQuorumChanged)
		return ok && logField(line.text, logQuorum) == "true"
	}
	if !await(ctx, startTimeout, hasQuorum) {
		return fmt.Errorf("not all voters had quorum within %s", startTimeout)
	}
	return nil
}

// propose proposes entries as one change. After each failure it proposes them again, until the
// change is accepted or refused.
func (r *roleFleet) propose(ctx context.Context, entries []distribution.Entry) error {
	for {
		_, err := r.hollow[0].node.ProposeChange(ctx, distribution.Proposal{Entries: entries})
		if err == nil || errors.Is(err, consensus.ErrChangeRefused) {
			return err
		}
		if err := pauseFor(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// startRole starts the distributor or the controller, and waits until the process has its
// configuration.
func (r *roleFleet) startRole(ctx context.Context, role string) error {
	c := r.processes[role]
	if err := c.start(r.folder); err != nil {
		return err
	}
	configured := func() bool {
		_, ok := c.lastLine(logSnapshotApplied)
		return ok || c.process.ExitedUnexpectedly()
	}
	if awaitClosely(ctx, rolesReadyTimeout, configured); c.process.ExitedUnexpectedly() {
		return fmt.Errorf("the process of the %s ended before it had its configuration", role)
	}
	line, ok := c.lastLine(logSnapshotApplied)
	if !ok {
		return fmt.Errorf("the process of the %s has no configuration after %s", role, rolesReadyTimeout)
	}
	r.ready[role] = line.at.Sub(c.began)
	return nil
}

// addChild starts a hollow subscriber that has the process of the given role as its only candidate
// parent.
func (r *roleFleet) addChild(parent string, number, group int) {
	s := &hollowSubscriber{name: fmt.Sprintf("%s/child%d", parent, number), dial: r.dialler.Dial,
		propagation: r.propagation,
		scopes:      distribution.SomeScopes(commonScope, groupScope(group)),
		candidates:  []string{consensus.Peer{Name: parent, Address: r.listen[parent]}.String()}}
	r.children = append(r.children, s)
	s.start()
}

// close stops all nodes and discovery.
func (r *roleFleet) close() {
	forEachNode(r.children, (*hollowSubscriber).kill)
	for _, c := range r.processes {
		c.end()
	}
	r.stop()
	r.running.Wait()
	if r.discovery != nil {
		r.discovery.Close()
	}
}
