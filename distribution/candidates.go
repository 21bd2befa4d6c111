package distribution

import "slices"

// candidate is a possible parent.
type candidate struct {
	name                string
	configured          bool  // it stays; others make room for newer ones
	proposed            bool  // by a refusal, and not tried since
	avoidUntil          int64 // no dial until then
	consecutiveFailures int   // in a row
}

func (n *Node) candidateByName(peer string) *candidate {
	for i := range n.candidates {
		if n.candidates[i].name == peer {
			return &n.candidates[i]
		}
	}
	return nil
}

// addCandidate gives the candidate of a name, a new one if there is none yet; nil if the name can't be one.
func (n *Node) addCandidate(peer string, configured bool) *candidate {
	if peer == "" || len(peer) > maxNameBytes || peer == n.config.Name {
		return nil
	}
	if known := n.candidateByName(peer); known != nil {
		return known
	}
	n.candidates = append(n.candidates, candidate{name: peer, configured: configured})
	return &n.candidates[len(n.candidates)-1]
}

// learnCandidates keeps possible parents that another node has named, in place of the oldest of that kind.
func (n *Node) learnCandidates(peers []string, proposed bool) {
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

// pickCandidate chooses whom to dial: one that a refusal has named, else one that is configured, else one that was learned;
// among those by chance. It gives none if all must be left alone for now.
func (n *Node) pickCandidate(now int64) string {
	var best []*candidate
	rank := 0
	for i := range n.candidates {
		c := &n.candidates[i]
		if now < c.avoidUntil || n.isRelated(c.name) {
			continue
		}
		if c.priority() > rank {
			rank, best = c.priority(), nil
		}
		if c.priority() == rank {
			best = append(best, c)
		}
	}
	if len(best) == 0 {
		return ""
	}
	chosen := best[n.host.Random()%uint64(len(best))]
	chosen.proposed = false
	return chosen.name
}

func (c *candidate) priority() int {
	switch {
	case c.proposed:
		return 2
	case c.configured:
		return 1
	}
	return 0
}

// isRelated tells whether a peer is the parent, being tried, or a child of this node.
func (n *Node) isRelated(peer string) bool {
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

// avoidUntil leaves a peer alone until a time.
func (n *Node) avoidUntil(peer string, until int64) {
	if c := n.candidateByName(peer); c != nil {
		c.avoidUntil = max(c.avoidUntil, until)
	}
}

// recordFailure notes a failure at a peer: it is left alone for longer each time, and so is everybody.
func (n *Node) recordFailure(peer string, now int64) {
	if c := n.candidateByName(peer); c != nil {
		c.consecutiveFailures++
		wait := n.backoffDelay(c.consecutiveFailures)
		c.avoidUntil = max(c.avoidUntil, now+wait/2+n.jitter(wait/2))
	}
	n.consecutiveFailures++
	n.nextDialAt = now + n.jitter(n.backoffDelay(n.consecutiveFailures))
}

// backoffDelay is the longest wait after a number of failures in a row.
func (n *Node) backoffDelay(failures int) int64 {
	wait := n.limits.MinBackoff
	for range failures - 1 {
		if wait >= n.limits.MaxBackoff {
			break
		}
		wait *= 2
	}
	return min(wait, n.limits.MaxBackoff)
}

// resetFailures forgets failures once the parent has led this node to a current configuration.
func (n *Node) resetFailures(u *parentLink) {
	n.consecutiveFailures = 0
	if c := n.candidateByName(u.peer); c != nil {
		c.consecutiveFailures = 0
	}
}
