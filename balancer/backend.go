package balancer

import (
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

	published entryWeights // weights of the backend in this controller's tables
	withdrawn bool         // proxies were notified not to use the backend, whatever tables they hold
	// enteredAt is the time at which the backend last became new or was readmitted; 0 if the
	// backend was on the first list.
	enteredAt Microseconds

	// ownOutcomes holds the outcomes that this controller's proxies reported within the score
	// window.
	ownOutcomes []outcomeSample
	// peerOutcomes holds the outcomes that other controllers reported within the score window. They
	// count only while ownOutcomes is empty.
	peerOutcomes        []outcomeSample
	reportedByPeersOnly bool // peerOutcomes counts, because ownOutcomes is empty
	// attempts and failures count the attempts, and the failures among them, in the outcome samples
	// that count.
	attempts, failures int
	// meanAnswerTime is the mean answer time of the answered attempts that count, in microseconds;
	// 0 if there are none.
	meanAnswerTime float64
	load           BackendLoad // load that the backend reported last

	// lastAnswerAt is the time at which an answer of the backend was last reported, or at which its
	// outcomes were reset.
	lastAnswerAt Microseconds
	// consecutiveFailures is the number of attempts reported since lastAnswerAt; all of them failed.
	consecutiveFailures int
	// score is the backend's mean answer time divided by that of the median backend. It is 1 if
	// either time is unknown, and -1 once an ejection of the backend was due.
	score float64

	ejected bool
	// ejectedByPeerReport is set if the ejection rests on peer reports alone. It is then not
	// reported back to peers: controllers would otherwise prolong each other's ejections forever.
	ejectedByPeerReport bool
	ejectedAt           Microseconds // time of the last ejection
	readmitAt           Microseconds // time at which the ejection ends
	// ejectionSuccessRate is the share of the counted attempts that were answered before the last
	// ejection.
	ejectionSuccessRate float64
	// keptInSubset and keptInZone are set if the table of the backend's subset or zone has its entry
	// although it is ejected or withheld (table_content.go).
	keptInSubset, keptInZone bool
	// backoff is the duration of the last ejection. It is 0 if the backend was never ejected since it
	// was new or restarted.
	backoff Microseconds
	// healthCheckedAt is the time at which the last health check started, or at which the backend
	// was ejected.
	healthCheckedAt Microseconds
	reducedShare    float64 // remaining share of the listed weight; 0 if the weight is not reduced
	// weightReducedAt is the time of the last weight reduction. Earlier outcomes do not reflect the
	// reduced weight.
	weightReducedAt Microseconds
	raiseWeightAt   Microseconds // time at which the reduced weight is next raised by a step
}

// outcomeSample is one report line about a backend.
type outcomeSample struct {
	receivedAt Microseconds
	// coversFrom is the time from which the attempts in the line count as covered, as
	// reportCoverage computes it: the time at which the line was received or, if reports are old,
	// the start of the span of the line plus one report interval, but not later than the receipt.
	coversFrom Microseconds
	answerTime Microseconds // sum of the answer times of the answered attempts
	attempts   int
	failures   int
}

// updateEndpoint applies an entry of the endpoint list. fleetKnown is set if a complete list that
// was not empty arrived before this list, so that a new backend joins a known fleet. loadDependent
// is set if listed weights fall as the load of a backend rises.
func (b *backendState) updateEndpoint(endpoint Endpoint, now Microseconds, fleetKnown, loadDependent bool) {
	restarted := b.listed && endpoint.StartedAt > b.StartedAt
	// A backend that kept its table entry while a wrong endpoint list omitted it is neither new nor
	// cold.
	keptEntry := b.State == Ready || b.published.any()
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

// successRate returns the share of the counted attempts that were answered; 1 if there are none.
func (b *backendState) successRate() float64 {
	return 1 - float64(b.failures)/float64(max(b.attempts, 1))
}

// usable reports whether the endpoint list allows a backend to have an entry. A removed backend
// stays usable only while it may be used further, has an entry and is not ejected.
func (c *Controller) usable(backend *backendState) bool {
	// With OnlyDrainingMustLeave, a removed backend keeps its entry until its attempts fail.
	if backend.State == Removed {
		return !c.mustLeave(backend) && !backend.ejected && backend.published.any()
	}
	return backend.listed && backend.State == Ready
}

// median sorts values and returns the middle one (the upper one of the two middle values if their
// number is even), or fallback if there are no values.
func median(values []float64, fallback float64) float64 {
	if len(values) == 0 {
		return fallback
	}
	slices.Sort(values)
	return values[len(values)/2]
}
