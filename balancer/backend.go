package balancer

import (
	"cmp"
	"slices"
)

// scoreWindow is how far back reports count for a backend's score.
const scoreWindow = 5 * second

// backendState is all that is known of one backend.
type backendState struct {
	Endpoint                  // as it was listed last
	listed       bool         // the list has named it
	subset       int          // which subset it is in
	seenDraining bool         // it was draining since it was last ready
	drainDelay   Microseconds // time from its drain's order to the last list that named it as draining

	published float64      // its weight in our tables; 0 if it has no entry
	withdrawn bool         // proxies were notified to keep off it, whatever tables they hold
	enteredAt Microseconds // when it was new or readmitted; 0 if it was on the first list

	ownOutcomes         []outcomeSample // what our proxies met within the score window
	peerOutcomes        []outcomeSample // what those of other controllers met; counts while ours met nothing
	reportedByPeersOnly bool            // so it does
	attempts, failures  int             // sums over the samples that count
	meanAnswerTime      float64         // of their answered attempts, in microseconds; 0 if there are none
	load                BackendLoad     // as it reported last

	lastAnswerAt        Microseconds // when an answer was last reported
	consecutiveFailures int          // attempts since then, all without an answer
	score               float64      // mean answer time over the median; 1 if unknown, -1 since it was to be ejected

	ejected             bool
	ejectedByPeerReport bool // on peer reports alone: reported to peers again, that would never end
	readmitAt           Microseconds
	backoff             Microseconds // how long the last ejection lasts; 0 if there was none since it was new or restarted
	healthCheckedAt     Microseconds
	reducedTo           float64      // share of its listed weight that it is left with; 0 for all of it
	weightReducedAt     Microseconds // what was met before says nothing of the new weight
	raiseWeightAt       Microseconds // when the next step up is due
}

// outcomeSample is one report line about a backend.
type outcomeSample struct {
	receivedAt Microseconds
	coversFrom Microseconds // what it tells of is later than this, but for one report interval
	answerTime Microseconds // sum over the answered attempts
	attempts   int
	failures   int
}

// updateEndpoint takes in a listed state. Entering says that the fleet is known already, so that a new backend enters
// it; loadDependent that the listed weights fall with load.
func (b *backendState) updateEndpoint(endpoint Endpoint, now Microseconds, entering, loadDependent bool) {
	restarted := b.listed && endpoint.StartedAt > b.StartedAt
	// One that kept its entry while a wrong list had dropped it is neither new nor cold.
	keptEntry := b.State == Ready || b.published > 0
	isNew := !b.listed || restarted || !keptEntry
	if endpoint.State == Removed || loadDependent {
		// Weight stands for size, not for the load of the moment; the entry of a removed one may stand on.
		endpoint.Weight = max(endpoint.Weight, b.Weight)
	}
	b.Endpoint = endpoint
	b.listed = true
	if b.Weight <= 0 {
		b.Weight = 1
	}
	if endpoint.State != Ready {
		b.noteDrain(now)
		return
	}
	b.seenDraining = false
	b.drainDelay = 0
	if restarted { // another process: what was reported of the old one says nothing
		b.ejected = false
		b.backoff = 0
		b.reducedTo = 0
	}
	if isNew {
		b.enteredAt = 0
		if entering {
			b.enteredAt = now
		}
		b.resetOutcomes(now)
	}
}

// sumOutcomes drops samples older than the score window, and sums those that count.
func (b *backendState) sumOutcomes(now Microseconds) {
	outdated := func(sample outcomeSample) bool { return sample.receivedAt <= now-scoreWindow }
	b.ownOutcomes = slices.DeleteFunc(b.ownOutcomes, outdated)
	b.peerOutcomes = slices.DeleteFunc(b.peerOutcomes, outdated)
	counting := b.ownOutcomes
	b.reportedByPeersOnly = len(b.ownOutcomes) == 0 && len(b.peerOutcomes) > 0
	if b.reportedByPeersOnly {
		counting = b.peerOutcomes
	}
	answerTime := Microseconds(0)
	b.attempts = 0
	b.failures = 0
	b.meanAnswerTime = 0
	for _, sample := range counting {
		if sample.coversFrom > b.weightReducedAt {
			b.attempts += sample.attempts
			b.failures += sample.failures
			answerTime += sample.answerTime
		}
	}
	if b.failures < b.attempts {
		b.meanAnswerTime = float64(answerTime) / float64(b.attempts-b.failures)
	}
}

// noteAttempts counts attempts without an answer since the last one with an answer.
func (b *backendState) noteAttempts(attempts, failures int, now Microseconds) {
	b.consecutiveFailures += attempts
	if failures < attempts {
		b.lastAnswerAt = now
		b.consecutiveFailures = 0
	}
}

// resetOutcomes forgets what was met so far.
func (b *backendState) resetOutcomes(now Microseconds) {
	b.ownOutcomes = nil
	b.peerOutcomes = nil
	b.consecutiveFailures = 0
	b.lastAnswerAt = now
}

// unreducedWeight is its published weight as if that were not reduced: late answers take no capacity away.
func (b *backendState) unreducedWeight() float64 { return b.published / cmp.Or(b.reducedTo, 1) }

// successRate is the share of its attempts that were answered; 1 if there were none.
func (b *backendState) successRate() float64 {
	return 1 - float64(b.failures)/float64(max(b.attempts, 1))
}

// usable tells whether the list lets a backend have an entry; a removed one only until it is ejected.
func (c *Controller) usable(backend *backendState) bool {
	if backend.State == Removed { // where only draining must be left, it keeps its entry until its attempts fail
		return !c.mustLeave(backend) && !backend.ejected && backend.published > 0
	}
	return backend.listed && backend.State == Ready
}

// median sorts values and returns the upper one of the middle, or another where there are none.
func median(values []float64, none float64) float64 {
	if len(values) == 0 {
		return none
	}
	slices.Sort(values)
	return values[len(values)/2]
}
