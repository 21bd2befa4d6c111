package balancer

import (
	"cmp"
	"slices"
)

// scoreWindow is the age up to which reports count towards a backend's score.
const scoreWindow = 5 * second

// backendState holds everything that the controller knows about one backend.
type backendState struct {
	// Endpoint is the latest list entry of the backend. Its State is Removed once a complete list
	// omits the backend.
	Endpoint
	listed       bool         // an endpoint list has named the backend
	subset       int          // index of the backend's subset
	seenDraining bool         // the backend was listed as draining since it was last listed as ready
	drainDelay   Microseconds // time from the order of the drain to the last list that reported the drain

	published float64      // weight of the backend in this controller's tables; 0 if it has no entry
	withdrawn bool         // proxies were notified not to use the backend, whatever tables they hold
	enteredAt Microseconds // when the backend last became new or was readmitted; 0 if it was on the first list

	ownOutcomes         []outcomeSample // reported by this controller's proxies within the score window
	peerOutcomes        []outcomeSample // reported by other controllers; counts only while ownOutcomes is empty
	reportedByPeersOnly bool            // peerOutcomes counts, because ownOutcomes is empty
	attempts, failures  int             // attempts and failures of the outcome samples that count
	meanAnswerTime      float64         // mean of the answered attempts that count, in microseconds; 0 if there are none
	load                BackendLoad     // load that the backend reported last

	lastAnswerAt Microseconds // when an answer of the backend was last reported, or its outcomes were reset
	// consecutiveFailures is the number of attempts reported since lastAnswerAt; all of them failed.
	consecutiveFailures int
	// score is the backend's mean answer time over the median backend's. It is 1 if either is
	// unknown, and -1 once an ejection of the backend was due.
	score float64

	ejected bool
	// ejectedByPeerReport is set if the ejection rests on peer reports alone. It is then not
	// reported back to peers: controllers would otherwise prolong each other's ejections forever.
	ejectedByPeerReport bool
	readmitAt           Microseconds // end of the ejection
	// backoff is the duration of the last ejection. It is 0 if the backend was never ejected since it
	// was new or restarted.
	backoff         Microseconds
	healthCheckedAt Microseconds // when the last health check started, or the backend was ejected
	reducedShare    float64      // remaining share of the listed weight; 0 if the weight is not reduced
	weightReducedAt Microseconds // outcomes from before this time do not reflect the reduced weight
	raiseWeightAt   Microseconds // when the reduced weight is due to be raised by the next step
}

// outcomeSample is one report line about a backend.
type outcomeSample struct {
	receivedAt Microseconds
	coversFrom Microseconds // start of the time that the line covers, plus up to one report interval (reportCoverage)
	answerTime Microseconds // sum of the answer times of the answered attempts
	attempts   int
	failures   int
}

// updateEndpoint applies an entry of the endpoint list. fleetKnown is set if an earlier complete
// list has named the fleet that a new backend joins; loadDependent is set if listed weights fall
// with load.
func (b *backendState) updateEndpoint(endpoint Endpoint, now Microseconds, fleetKnown, loadDependent bool) {
	restarted := b.listed && endpoint.StartedAt > b.StartedAt
	// A backend that kept its table entry while a wrong endpoint list omitted it is neither new nor
	// cold.
	keptEntry := b.State == Ready || b.published > 0
	isNew := !b.listed || restarted || !keptEntry
	if endpoint.State == Removed || loadDependent {
		// The weight stands for the size of the backend, not for its current load. A removed
		// backend keeps its weight because it may also keep its entry.
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
	if restarted { // reports about the old process do not apply to the new one
		b.ejected = false
		b.backoff = 0
		b.reducedShare = 0
	}
	if isNew {
		b.enteredAt = 0
		if fleetKnown {
			b.enteredAt = now
		}
		b.resetOutcomes(now)
	}
}

// sumOutcomes drops samples older than the score window, and sums up the samples that count.
func (b *backendState) sumOutcomes(now Microseconds) {
	expired := func(sample outcomeSample) bool { return sample.receivedAt <= now-scoreWindow }
	b.ownOutcomes = slices.DeleteFunc(b.ownOutcomes, expired)
	b.peerOutcomes = slices.DeleteFunc(b.peerOutcomes, expired)
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

// updateConsecutiveFailures adds the attempts of a report to the count of consecutive failures, or
// resets the count if the report contains an answer.
func (b *backendState) updateConsecutiveFailures(attempts, failures int, now Microseconds) {
	b.consecutiveFailures += attempts
	if failures < attempts {
		b.lastAnswerAt = now
		b.consecutiveFailures = 0
	}
}

// resetOutcomes discards all outcomes reported so far.
func (b *backendState) resetOutcomes(now Microseconds) {
	b.ownOutcomes = nil
	b.peerOutcomes = nil
	b.consecutiveFailures = 0
	b.lastAnswerAt = now
}

// unreducedWeight returns the published weight as if it were not reduced: late answers do not
// diminish a backend's capacity.
func (b *backendState) unreducedWeight() float64 { return b.published / cmp.Or(b.reducedShare, 1) }

// successRate returns the share of the counted attempts that were answered; 1 if there are none.
func (b *backendState) successRate() float64 {
	return 1 - float64(b.failures)/float64(max(b.attempts, 1))
}

// usable reports whether the endpoint list allows a backend to have an entry. A removed backend
// stays usable only while it may be used further, has an entry and is not ejected.
func (c *Controller) usable(backend *backendState) bool {
	if backend.State == Removed { // with OnlyDrainingMustLeave, it keeps its entry until its attempts fail
		return !c.mustLeave(backend) && !backend.ejected && backend.published > 0
	}
	return backend.listed && backend.State == Ready
}

// median sorts values and returns the middle one (the upper one if their number is even), or
// fallback if there are none.
func median(values []float64, fallback float64) float64 {
	if len(values) == 0 {
		return fallback
	}
	slices.Sort(values)
	return values[len(values)/2]
}
