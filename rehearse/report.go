package rehearse

import (
	"fmt"
	"time"

	"wheelrill/fake"
	"wheelrill/internal/process"
	"wheelrill/invariant"
)

// Report is the result of a run. Other programs read its JSON keys, so they must not change.
type Report struct {
	Scenario    string         `json:"scenario"`  // name of the scenario: calm or takeover
	Seed        uint64         `json:"seed"`      // seed of all random choices
	Sharing     bool           `json:"sharing"`   // the controllers shared the ownership of proxies
	Controllers int            `json:"instances"` // number of controllers
	Proxies     int            `json:"relays"`    // number of proxies
	Seconds     float64        `json:"seconds"`   // duration of the run in seconds
	Faults      map[string]int `json:"faults"`    // number of faults injected into controllers, by kind

	Verdict    Verdict               `json:"verdict"`       // overall result of the run
	Reason     string                `json:"why,omitempty"` // why the verdict is inconclusive
	Violations []invariant.Violation `json:"breaches"`      // the first 100 violations of the rules
	// ViolationCounts has the number of violations of each rule, including the violations that
	// Violations does not list.
	ViolationCounts map[string]int `json:"broken"`

	Effects           int     `json:"effects"`                  // number of distinct requests that took effect
	LongestEmptyTable float64 `json:"longest_without_a_line_s"` // longest time a proxy lacked an entry for a class, s
	PeakMessages      int     `json:"most_messages_to_a_relay"` // maximum messages to one proxy within MessageWindow
	ServedValue       float64 `json:"value_served"`             // share of all requests' priority weight served in time
	Lost              int     `json:"lost"`                     // number of admitted requests without a successful answer
	Rejected          int     `json:"refused"`                  // number of requests that were not admitted
	Requests          int     `json:"came"`                     // number of all requests that proxies received

	StreamsOpened       int     `json:"streams_begun"`                         // number of streams opened by proxies
	LinesAtConnect      float64 `json:"lines_in_the_first_second_of_a_stream"` // mean lines in a stream's first second
	Lines               int     `json:"lines"`                                 // number of lines in all applied pushes
	Pushes              int     `json:"orders"`                                // number of pushes that proxies applied
	StalePushesRejected int     `json:"orders_refused_as_of_an_older_owner"`   // rejected pushes with an old owner's token

	Hangs             int     `json:"hangs"`                           // number of hangs of backends
	BackendsReplaced  int     `json:"workers_replaced"`                // number of backends replaced by a new process
	MeanHangDetection float64 `json:"left_a_hung_worker_after_s_mean"` // mean time until a hung backend is abandoned, s
	MaxHangDetection  float64 `json:"left_a_hung_worker_after_s_most"` // maximum time until a hung backend is abandoned, s
	AttemptsIntoHang  int     `json:"tries_into_a_hang"`               // number of attempts sent to hanging backends

	SchedulingDelayP99 float64 `json:"turn_late_ms_of_one_in_a_hundred"` // this process's scheduling delay, p99, ms
	SchedulingDelayMax float64 `json:"turn_late_ms_most"`                // this process's scheduling delay, maximum, ms
	Folder             string  `json:"folder"`                           // folder with the run's logs and configurations
}

// Verdict is the overall result of a run.
type Verdict string

// Verdicts of a run.
const (
	VerdictPassed       Verdict = "kept"
	VerdictViolated     Verdict = "broken"
	VerdictInconclusive Verdict = "could not be judged"
)

// summarize writes three things into the report: the results of the checker, the differences
// between the counts of the fleet at the end (after) and at the start (before), and the mean and
// maximum time until a hanging backend was abandoned.
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

// decideVerdict sets the verdict of the report. A run on a machine that was too busy is
// inconclusive, whether or not there are violations.
func (r *run) decideVerdict(v invariant.Verdict, delayP99, delayMax time.Duration) {
	report := r.report
	report.SchedulingDelayP99 = milliseconds(delayP99)
	report.SchedulingDelayMax = milliseconds(delayMax)
	// Faults of links between controllers do not make proxies change their controller. So a new
	// stream is only required of a run in which a fault stopped a controller.
	takeoverAsExpected := report.StreamsOpened > 0 || !r.stoppedAny()
	switch {
	case process.TooBusy(delayP99):
		report.Verdict = VerdictInconclusive
		report.Reason = fmt.Sprintf(
			"the 99th percentile of the scheduling delay was over %s; repeat the run on a less busy machine",
			process.MaxDelay)
	case len(v.Violations) > 0:
		report.Verdict = VerdictViolated
	case report.Effects == 0 || !takeoverAsExpected:
		report.Verdict = VerdictInconclusive
		report.Reason = "no proxy was taken over, or no request took effect; repeat the run with a longer duration"
	default:
		report.Verdict = VerdictPassed
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// stoppedAny reports whether a fault ended or froze the process of a controller.
func (r *run) stoppedAny() bool {
	for _, kind := range faultKinds {
		if kind.stopsProcess && r.faultCounts[kind.name] > 0 {
			return true
		}
	}
	return false
}
