package distribution

import "slices"

// candidate is a possible parent.
type candidate struct {
	name                string
	configured          bool         // it stays; others make room for newer ones
	proposed            bool         // by a refusal, and not tried since
	avoidUntil          Microseconds // no dial before that time
	consecutiveFailures int
}

// maxNameBytes bounds a node's name.
const maxNameBytes = 256

// priority orders the candidates: proposed ones know the tree best, learned ones may be gone.
func (c *candidate) priority() int {
	switch {
	case c.proposed:
		return 2
	case c.configured:
		return 1
	}
	return 0
}

func (n *Node) candidateByName(name string) *candidate {
	for i := range n.candidates {
		if n.candidates[i].name == name {
			return &n.candidates[i]
		}
	}
	return nil
}

// addCandidate gives the candidate of a name, a new one if there is none yet; nil if the name can't be one. The pointer
// is valid until the next call.
func (n *Node) addCandidate(name string, configured bool) *candidate {
	if name == "" || len(name) > maxNameBytes || name == n.config.Name {
		return nil
	}
	if known := n.candidateByName(name); known != nil {
		return known
	}
	n.candidates = append(n.candidates, candidate{name: name, configured: configured})
	return &n.candidates[len(n.candidates)-1]
}

// learnCandidates adds possible parents that another node has named, in place of the oldest that were learned.
func (n *Node) learnCandidates(names []string, proposed bool) {
	if n.config.Voter {
		return
	}
	if bound := max(n.limits.MaxProposed, n.limits.MaxDepth); len(names) > bound {
		names = names[:bound]
	}
	for _, name := range names {
		if known := n.addCandidate(name, false); known != nil && proposed {
			known.proposed = true
		}
	}
	learned := 0
	for _, candidate := range n.candidates {
		if !candidate.configured {
			learned++
		}
	}
	n.candidates = slices.DeleteFunc(n.candidates, func(oldest candidate) bool {
		if oldest.configured || learned <= n.limits.MaxCandidates {
			return false
		}
		learned--
		return true
	})
}

// pickCandidate chooses whom to dial: one that a refusal has named, else one that is configured, else one that was
// learned; among those by chance. It gives none if none may be dialled now.
func (n *Node) pickCandidate(now Microseconds) string {
	var best []*candidate
	bestPriority := 0
	for i := range n.candidates {
		candidate := &n.candidates[i]
		if now < candidate.avoidUntil || n.isNeighbor(candidate.name) {
			continue
		}
		priority := candidate.priority()
		if priority > bestPriority {
			bestPriority = priority
			best = nil
		}
		if priority == bestPriority {
			best = append(best, candidate)
		}
	}
	if len(best) == 0 {
		return ""
	}
	chosen := best[n.host.Random()%uint64(len(best))]
	chosen.proposed = false
	return chosen.name
}

// isNeighbor tells whether a peer is the parent, being tried, or a child of this node.
func (n *Node) isNeighbor(peer string) bool {
	if n.parent != nil && n.parent.peer == peer {
		return true
	}
	for _, attempt := range n.attempts {
		if attempt.peer == peer {
			return true
		}
	}
	return n.hasChild(peer)
}

// avoidUntil has a peer not dialled before a time.
func (n *Node) avoidUntil(peer string, until Microseconds) {
	if candidate := n.candidateByName(peer); candidate != nil {
		candidate.avoidUntil = max(candidate.avoidUntil, until)
	}
}

// recordFailure notes a failure at a peer: it is not dialled for longer each time, and neither is anybody else.
func (n *Node) recordFailure(peer string, now Microseconds) {
	if candidate := n.candidateByName(peer); candidate != nil {
		candidate.consecutiveFailures++
		delay := n.backoffDelay(candidate.consecutiveFailures)
		candidate.avoidUntil = max(candidate.avoidUntil, now+delay/2+n.jitter(delay/2))
	}
	n.consecutiveFailures++
	n.nextDialAt = now + n.jitter(n.backoffDelay(n.consecutiveFailures))
}

// backoffDelay is the longest wait, in µs, after a number of failures in a row.
func (n *Node) backoffDelay(failures int) Microseconds {
	delay := n.limits.MinBackoff
	for range failures - 1 {
		if delay >= n.limits.MaxBackoff {
			break
		}
		delay *= 2
	}
	return min(delay, n.limits.MaxBackoff)
}

// resetFailures forgets failures once the parent has led this node to a current configuration.
func (n *Node) resetFailures(parent *parentLink) {
	n.consecutiveFailures = 0
	if candidate := n.candidateByName(parent.peer); candidate != nil {
		candidate.consecutiveFailures = 0
	}
}
