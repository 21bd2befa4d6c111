package balancer

import (
	"cmp"
	"slices"
)

func (b *backendState) updateEndpoint(e Endpoint, now int64, entering, live bool) {
	restarted := b.listed && e.StartedAt > b.StartedAt
	// One that kept its line while a wrong list had dropped it is neither new nor cold.
	fresh := !b.listed || restarted || b.State != Ready && b.published == 0
	if e.State == Removed || live { // the size, not the load of the moment; a gone one's line may stand on
		e.Weight = max(e.Weight, b.Weight)
	}
	if b.Endpoint, b.listed = e, true; b.Weight <= 0 {
		b.Weight = 1
	}
	if e.State != Ready {
		if e.State == Draining && e.DrainingSince > 0 {
			b.drainDelay = max(b.drainDelay, now-e.DrainingSince)
		}
		b.seenDraining = b.seenDraining || e.State == Draining
		return
	}
	if b.seenDraining, b.drainDelay = false, 0; restarted { // another process: what was heard of the old one says nothing
		b.ejected, b.backoff, b.reducedTo = false, 0, 0
	}
	if fresh {
		b.enteredAt = now * int64(count(entering))
		b.resetOutcomes(now)
	}
}

// usable leaves the score aside. Where only draining binds, one that the list drops is, until its tries fail.
func (c *Controller) usable(b *backendState, now int64) bool {
	if b.State == Removed {
		return !c.mustLeave(b) && !b.ejected && b.published > 0
	}
	return b.listed && b.State == Ready
}

// backend is all that is known of one backend.
type backendState struct {
	Endpoint
	subset               int     // of the fleet that it is in
	listed, seenDraining bool    // drained: was seen draining since it was last ready
	published            float64 // its weight in our tables
	withdrawn            bool    // withdrawn from whatever tables proxies hold
	drainDelay           int64   // how long its drain had been ordered when we heard of it
	enteredAt            int64   // when it entered or returned; 0 if it was here from the start

	ownOutcomes         []outcomeSample // what was heard within the reply timeout, and its sums
	peerOutcomes        []outcomeSample // what others heard; it has the place of ours where there are none
	reportedByPeersOnly bool            // so it does
	ejectedByPeerReport bool            // it left R on that alone: telling it to others again would never end
	attempts, failures  int
	meanAnswerTime      float64
	load                BackendLoad
	lastAnswerAt        int64   // when an answer was last heard of
	consecutiveFailures int     // tries without any answer since then
	score               float64 // mean over the median, 1 if unheard, negative if it left R
	ejected             bool
	readmitAt, backoff  int64
	healthCheckedAt     int64
	reducedTo           float64 // part of the listed weight that it is left with; 0 for all of it
	raiseWeightAt       int64
	weightReducedAt     int64 // when that was: what was heard before says nothing of its new weight
}

type outcomeSample struct {
	receivedAt, coversFrom int64 // when it came, and what it tells of at the earliest, but for a period
	answerTime             int64 // all answered ones together
	attempts, failures     int
}

func (b *backendState) sumOutcomes(now int64) {
	old := func(s outcomeSample) bool { return s.receivedAt <= now-scoreWindow }
	b.ownOutcomes, b.peerOutcomes = slices.DeleteFunc(b.ownOutcomes, old), slices.DeleteFunc(b.peerOutcomes, old)
	heard := b.ownOutcomes
	if b.reportedByPeersOnly = len(heard) == 0 && len(b.peerOutcomes) > 0; b.reportedByPeersOnly {
		heard = b.peerOutcomes
	}
	took := int64(0)
	b.attempts, b.failures, b.meanAnswerTime = 0, 0, 0
	for _, s := range heard {
		if s.coversFrom > b.weightReducedAt {
			b.attempts, b.failures, took = b.attempts+s.attempts, b.failures+s.failures, took+s.answerTime
		}
	}
	if b.failures < b.attempts {
		b.meanAnswerTime = float64(took) / float64(b.attempts-b.failures)
	}
}

func (b *backendState) resetOutcomes(now int64) {
	b.ownOutcomes, b.peerOutcomes, b.consecutiveFailures, b.lastAnswerAt = nil, nil, 0, now
}

func (b *backendState) publishedCapacity() float64 { return b.published / cmp.Or(b.reducedTo, 1) } // strain takes no capacity away

func (b *backendState) successRate() float64 {
	return 1 - float64(b.failures)/float64(max(b.attempts, 1))
}

func median(values []float64, none float64) float64 {
	if slices.Sort(values); len(values) > 0 {
		return values[len(values)/2]
	}
	return none
}
