package scale

import "strings"

// Events in a controller's log that measurements read, and the keys of the fields of these log
// lines. Packages controller and consensus write the lines.
const (
	logReady              = "ready"               // logged when a controller is ready, with the field logBackends
	logQuorumChanged      = "quorum_changed"      // logged when a member gains or loses quorum, with the field logQuorum
	logSnapshotApplied    = "snapshot_applied"    // logged when a subscriber has received its configuration
	logDistributionStatus = "distribution_status" // logged periodically: distribution traffic in logInBytes, logOutBytes
	logRecord             = "record"              // logged periodically: cost of the record in logEntries, logBytes
	logLeading            = "leading"             // logged when a member begins or ceases to lead, with field logLeads

	logBackends = "backends"
	logQuorum   = "quorum"
	logInBytes  = "in_bytes_per_s"
	logOutBytes = "out_bytes_per_s"
	logEntries  = "entries_per_s"
	logBytes    = "bytes_per_s"
	logLeads    = "leads"
)

// logEvent returns the name of the event of a log line.
func logEvent(line string) string { return logField(line, "msg") }

// logField returns the value of a key in a log line of key=value pairs, or "" if the key is
// missing.
func logField(line, key string) string {
	_, rest, _ := strings.Cut(line, " "+key+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}
