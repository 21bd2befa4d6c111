package distribution

import "slices"

// candidate is a peer that may become the parent of this node.
type candidate struct {
	name                string
	configured          bool         // named in Config.Candidates; only other candidates are removed, the oldest first
	proposed            bool         // named by a peer in a refusal, and not dialled since then
	avoidUntil          Microseconds // time before which the candidate is not dialled
	consecutiveFailures int
}

// maxNameBytes bounds the name of a node.
const maxNameBytes = 256

// priority orders the candidates for dialling. Candidates proposed in a refusal come first, as the
// refusing peer knows the tree best. Other learned candidates come last, as they may no longer
// exist.
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

// addCandidate returns the candidate with a name, and adds the candidate if the name is unknown. It
// returns nil if the name is empty, longer than maxNameBytes, or the name of this node. The pointer
// is valid until a candidate is added or removed.
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

// learnCandidates adds possible parents that another node has named, and removes the oldest learned
// candidates beyond MaxCandidates.
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

// pickCandidate returns the peer to dial: a random one of the highest priority among the candidates
// that may be dialled now, or "" if no candidate may be dialled.
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

// isNeighbor reports whether a peer is the parent, the peer of an attempt, or a child of this node.
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

// avoidUntil prevents dials to a peer before a given time.
func (n *Node) avoidUntil(peer string, until Microseconds) {
	if candidate := n.candidateByName(peer); candidate != nil {
		candidate.avoidUntil = max(candidate.avoidUntil, until)
	}
}

// recordFailure records a failure at a peer. The peer is not dialled for half to all of a backoff
// that doubles with each consecutive failure at this peer. No peer is dialled for a random part of
// a backoff that doubles with each consecutive failure at any peer. Both backoffs grow up to
// MaxBackoff.
func (n *Node) recordFailure(peer string, now Microseconds) {
	if candidate := n.candidateByName(peer); candidate != nil {
		candidate.consecutiveFailures++
		delay := n.backoffDelay(candidate.consecutiveFailures)
		candidate.avoidUntil = max(candidate.avoidUntil, now+delay/2+n.jitter(delay/2))
	}
	n.consecutiveFailures++
	n.nextDialAt = now + n.jitter(n.backoffDelay(n.consecutiveFailures))
}

// backoffDelay returns the longest wait, in µs, after a number of consecutive failures.
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

// resetFailures clears the failure counts of this node and of its parent, once this node has the
// current configuration from the parent.
func (n *Node) resetFailures(parent *parentLink) {
	n.consecutiveFailures = 0
	if candidate := n.candidateByName(parent.peer); candidate != nil {
		candidate.consecutiveFailures = 0
	}
}
