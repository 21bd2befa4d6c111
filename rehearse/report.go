package rehearse

import (
	"fmt"
	"time"

	"wheelrill/fake"
	"wheelrill/internal/process"
	"wheelrill/invariant"
)

// Report is what a run has shown. Its keys as JSON are read by others and stay.
type Report struct {
	Scenario    string         `json:"scenario"`  // calm or takeover
	Seed        uint64         `json:"seed"`      // of all that was drawn
	Sharing     bool           `json:"sharing"`   // of the ownership of proxies
	Controllers int            `json:"instances"` // number of them
	Proxies     int            `json:"relays"`    // number of them
	Seconds     float64        `json:"seconds"`   // that were played
	Faults      map[string]int `json:"faults"`    // that befell controllers, by kind

	Verdict    Verdict               `json:"verdict"`       // of the run
	Reason     string                `json:"why,omitempty"` // of an inconclusive verdict
	Violations []invariant.Violation `json:"breaches"`      // the first hundred
	// ViolationCounts are those of all violations by rule, also where there are too many to keep.
	ViolationCounts map[string]int `json:"broken"`

	Effects           int     `json:"effects"`                  // requests that took effect
	LongestEmptyTable float64 `json:"longest_without_a_line_s"` // seconds
	PeakMessages      int     `json:"most_messages_to_a_relay"` // within the window
	ServedValue       float64 `json:"value_served"`             // in time, as a share of the value that came
	Lost              int     `json:"lost"`                     // requests
	Rejected          int     `json:"refused"`                  // requests that were not admitted
	Requests          int     `json:"came"`                     // all

	StreamsOpened       int     `json:"streams_begun"`                         // of proxies to controllers
	LinesAtConnect      float64 `json:"lines_in_the_first_second_of_a_stream"` // mean
	Lines               int     `json:"lines"`                                 // in all orders
	Pushes              int     `json:"orders"`                                // that proxies applied
	StalePushesRejected int     `json:"orders_refused_as_of_an_older_owner"`   // by their tokens

	Hangs             int     `json:"hangs"`                           // of backends
	BackendsReplaced  int     `json:"workers_replaced"`                // that drained, and came back as new
	MeanHangDetection float64 `json:"left_a_hung_worker_after_s_mean"` // seconds
	MaxHangDetection  float64 `json:"left_a_hung_worker_after_s_most"` // seconds
	AttemptsIntoHang  int     `json:"tries_into_a_hang"`               // sent to backends that hung

	SchedulingDelayP99 float64 `json:"turn_late_ms_of_one_in_a_hundred"` // ms, of this process
	SchedulingDelayMax float64 `json:"turn_late_ms_most"`                // ms, of this process
	Folder             string  `json:"folder"`                           // of logs and configurations
}

// Verdict is how a run is judged.
type Verdict string

// Verdicts.
const (
	VerdictPassed       Verdict = "kept"
	VerdictViolated     Verdict = "broken"
	VerdictInconclusive Verdict = "could not be judged"
)

// summarize takes into the report what the fleet counted while it was played.
func (r *run) summarize(v invariant.Verdict, before, after fake.Counts) {
	report := r.report
	report.Faults = r.faultCounts
	report.Violations = v.Violations
	report.ViolationCounts = v.Counts
	report.Effects = v.Effects
	report.LongestEmptyTable = v.LongestEmptyTable.Seconds()
	report.PeakMessages = v.PeakMessages
	report.ServedValue = (after.ServedValue - before.ServedValue) / max(after.OfferedValue-before.OfferedValue, 1)
	report.Lost = after.Lost - before.Lost
	report.Rejected = after.Rejected - before.Rejected
	report.Requests = after.Requests - before.Requests
	report.StreamsOpened = after.Streams - before.Streams
	report.LinesAtConnect = float64(after.LinesAtConnect-before.LinesAtConnect) / float64(max(report.StreamsOpened, 1))
	report.Lines = after.Lines - before.Lines
	report.Pushes = after.Pushes - before.Pushes
	report.StalePushesRejected = after.StalePushesRejected - before.StalePushesRejected
	report.AttemptsIntoHang = after.AttemptsIntoHang - before.AttemptsIntoHang
	for _, d := range r.hangDetections {
		report.MeanHangDetection += d.Seconds() / float64(len(r.hangDetections))
		report.MaxHangDetection = max(report.MaxHangDetection, d.Seconds())
	}
}

// decideVerdict settles the verdict: a machine that was too busy shows nothing, for or against.
func (r *run) decideVerdict(v invariant.Verdict, delayP99, delayMax time.Duration) {
	report := r.report
	report.SchedulingDelayP99 = milliseconds(delayP99)
	report.SchedulingDelayMax = milliseconds(delayMax)
	tookOver := report.StreamsOpened > 0 || !r.stoppedAny() // what is only between controllers moves no proxy
	switch {
	case process.TooBusy(delayP99):
		report.Verdict = VerdictInconclusive
		report.Reason = fmt.Sprintf("one turn in a hundred was over %s late; leave the machine more room", process.MaxDelay)
	case len(v.Violations) > 0:
		report.Verdict = VerdictViolated
	case report.Effects == 0 || !tookOver:
		report.Verdict = VerdictInconclusive
		report.Reason = "no proxy was taken over, or nothing took effect; play it for longer"
	default:
		report.Verdict = VerdictPassed
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// stoppedAny tells whether any controller's process was stopped.
func (r *run) stoppedAny() bool {
	for _, kind := range faultKinds {
		if kind.stopsProcess && r.faultCounts[kind.name] > 0 {
			return true
		}
	}
	return false
}
