package distribution

import "slices"

// candidate is a possible parent.
type candidate struct {
	peer       string
	configured bool  // it stays; others make room for newer ones
	proposed   bool  // by a refusal, and not tried since
	notBefore  int64 // no dial until then
	failures   int   // in a row
}

func (n *Node) candidate(peer string) *candidate {
	for i := range n.candidates {
		if n.candidates[i].peer == peer {
			return &n.candidates[i]
		}
	}
	return nil
}

// addCandidate gives the candidate of a name, a new one if there is none yet; nil if the name can't be one.
func (n *Node) addCandidate(peer string, configured bool) *candidate {
	if peer == "" || len(peer) > nameMost || peer == n.config.Name {
		return nil
	}
	if known := n.candidate(peer); known != nil {
		return known
	}
	n.candidates = append(n.candidates, candidate{peer: peer, configured: configured})
	return &n.candidates[len(n.candidates)-1]
}

// learn keeps possible parents that another node has named, in place of the oldest of that kind.
func (n *Node) learn(peers []string, proposed bool) {
	if n.config.Voter {
		return
	}
	if most := max(n.limits.MaxProposed, n.limits.MaxDepth); len(peers) > most {
		peers = peers[:most]
	}
	for _, peer := range peers {
		if known := n.addCandidate(peer, false); known != nil && proposed {
			known.proposed = true
		}
	}
	learned := 0
	for _, c := range n.candidates {
		if !c.configured {
			learned++
		}
	}
	n.candidates = slices.DeleteFunc(n.candidates, func(c candidate) bool {
		if c.configured || learned <= n.limits.MaxCandidates {
			return false
		}
		learned--
		return true
	})
}

// pick chooses whom to dial: one that a refusal has named, else one that is configured, else one that was learned;
// among those by chance. It gives none if all must be left alone for now.
func (n *Node) pick(now int64) string {
	var best []*candidate
	rank := 0
	for i := range n.candidates {
		c := &n.candidates[i]
		if now < c.notBefore || n.related(c.peer) {
			continue
		}
		if c.rank() > rank {
			rank, best = c.rank(), nil
		}
		if c.rank() == rank {
			best = append(best, c)
		}
	}
	if len(best) == 0 {
		return ""
	}
	chosen := best[n.host.Random()%uint64(len(best))]
	chosen.proposed = false
	return chosen.peer
}

func (c *candidate) rank() int {
	switch {
	case c.proposed:
		return 2
	case c.configured:
		return 1
	}
	return 0
}

// related tells whether a peer is the parent, being tried, or a child of this node.
func (n *Node) related(peer string) bool {
	if n.parent != nil && n.parent.peer == peer {
		return true
	}
	for _, u := range n.attempts {
		if u.peer == peer {
			return true
		}
	}
	return n.hasChild(peer)
}

// avoid leaves a peer alone until a time.
func (n *Node) avoid(peer string, until int64) {
	if c := n.candidate(peer); c != nil {
		c.notBefore = max(c.notBefore, until)
	}
}

// backOff notes a failure at a peer: it is left alone for longer each time, and so is everybody.
func (n *Node) backOff(peer string, now int64) {
	if c := n.candidate(peer); c != nil {
		c.failures++
		wait := n.backoff(c.failures)
		c.notBefore = max(c.notBefore, now+wait/2+n.jitter(wait/2))
	}
	n.failures++
	n.nextDial = now + n.jitter(n.backoff(n.failures))
}

// backoff is the longest wait after a number of failures in a row.
func (n *Node) backoff(failures int) int64 {
	wait := n.limits.MinBackoff
	for range failures - 1 {
		if wait >= n.limits.MaxBackoff {
			break
		}
		wait *= 2
	}
	return min(wait, n.limits.MaxBackoff)
}

// placeIsGood forgets failures once the parent has led this node to a current configuration.
func (n *Node) placeIsGood(u *upstream) {
	n.failures = 0
	if c := n.candidate(u.peer); c != nil {
		c.failures = 0
	}
}
