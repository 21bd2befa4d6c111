package rehearse

import (
	"fmt"
	"time"

	"wheelrill/fake"
	"wheelrill/invariant"
)

// Report is what a rehearsal has shown.
type Report struct {
	Scenario   string                `json:"scenario"`
	Seed       uint64                `json:"seed"`
	Sharing    bool                  `json:"sharing"`
	Instances  int                   `json:"instances"`
	Relays     int                   `json:"relays"`
	Seconds    float64               `json:"seconds"`
	Faults     map[string]int        `json:"faults"`
	Verdict    string                `json:"verdict"` // kept, broken, or could not be judged
	Why        string                `json:"why,omitempty"`
	Breaches   []invariant.Violation `json:"breaches"`
	Broken     map[string]int        `json:"broken"`
	Effects    int                   `json:"effects"`
	BareMost   float64               `json:"longest_without_a_line_s"`
	Messages   int                   `json:"most_messages_to_a_relay"`
	Served     float64               `json:"value_served"` // share of what was asked for, in time
	Lost       int                   `json:"lost"`
	Refused    int                   `json:"refused"`
	Came       int                   `json:"came"`
	Takeovers  int                   `json:"streams_begun"`
	JoinLines  float64               `json:"lines_in_the_first_second_of_a_stream"`
	Lines      int                   `json:"lines"`
	Orders     int                   `json:"orders"`
	Stale      int                   `json:"orders_refused_as_of_an_older_owner"`
	Hangs      int                   `json:"hangs"`
	Replaced   int                   `json:"workers_replaced"`
	LeaveMean  float64               `json:"left_a_hung_worker_after_s_mean"`
	LeaveMost  float64               `json:"left_a_hung_worker_after_s_most"`
	IntoHang   int                   `json:"tries_into_a_hang"`
	TurnsLate  float64               `json:"turn_late_ms_of_one_in_a_hundred"`
	LatestTurn float64               `json:"turn_late_ms_most"`
	Folder     string                `json:"folder"`
}

// Verdicts.
const (
	Kept     = "kept"
	Broken   = "broken"
	Unjudged = "could not be judged"
)

// tooLate is how late one turn in a hundred may be; beyond it nothing measured means anything.
const tooLate = 100 * time.Millisecond

// sum takes into the report what the installation counted while it was played.
func (p *play) sum(v invariant.Verdict, before, after fake.Counts, left []time.Duration) {
	r := p.report
	r.Faults, r.Effects, r.Messages = p.faults, v.Effects, v.Most
	r.Breaches, r.Broken, r.BareMost = v.Breaches, v.Counts, v.Longest.Seconds()
	r.Served = (after.ServedValue - before.ServedValue) / max(after.AskedValue-before.AskedValue, 1)
	r.Came, r.Lost, r.Refused = after.Came-before.Came, after.Lost-before.Lost, after.Refused-before.Refused
	r.Takeovers, r.Stale = after.Streams-before.Streams, after.Refusals-before.Refusals
	r.Lines, r.Orders = after.Lines-before.Lines, after.Orders-before.Orders
	r.JoinLines = float64(after.JoinLines-before.JoinLines) / float64(max(r.Takeovers, 1))
	r.IntoHang = after.IntoHang - before.IntoHang
	for _, l := range left {
		r.LeaveMean += l.Seconds() / float64(len(left))
		r.LeaveMost = max(r.LeaveMost, l.Seconds())
	}
}

// judge settles the verdict: a machine that was too busy shows nothing, for or against.
func (p *play) judge(v invariant.Verdict, hundredth, most time.Duration) {
	r := p.report
	r.TurnsLate, r.LatestTurn = float64(hundredth.Microseconds())/1000, float64(most.Microseconds())/1000
	switch {
	case hundredth > tooLate:
		r.Verdict, r.Why = Unjudged, fmt.Sprintf("one turn in a hundred was over %s late; leave the machine more room", tooLate)
	case len(v.Breaches) > 0:
		r.Verdict = Broken
	case r.Effects == 0 || r.Takeovers == 0 && p.ended(): // what is only between controllers moves no relay
		r.Verdict, r.Why = Unjudged, "no relay was taken over, or nothing took effect; play it for longer"
	default:
		r.Verdict = Kept
	}
}

// ended tells whether any controller's process was stopped.
func (p *play) ended() bool {
	return p.faults["kill"]+p.faults["leave"]+p.faults["pair"]+p.faults["freeze"]+p.faults["reload"] > 0
}
