package controller

import (
	"context"
	"net"
	"time"

	"wheelrill/distribution"
)

// logRefused logs a connection that the listener of a subscriber refused. Goroutines of the
// listener call it.
func (d *distributor) logRefused(from net.Addr, reason error) {
	d.log.Warn("subscriber_refused", "remote", from, "error", reason)
}

// logEvent logs an event of this controller's node of the distribution tree. The goroutine of the
// transport calls it.
func (d *distributor) logEvent(event distribution.Event) {
	log := d.log.With("revision", event.Version.Revision, "epoch", event.Version.Epoch.String())
	switch event.Kind {
	case distribution.EventAdmitted:
		log.Info("subscribed", "parent", event.Peer)
	case distribution.EventParentLost:
		log.Warn("parent_lost", "parent", event.Peer, "reason", parentLossReason(event.CloseReason))
	case distribution.EventSnapshotInstalled:
		log.Info("snapshot_applied", "parent", event.Peer)
	case distribution.EventSourceStale:
		log.Warn("configuration_stale")
	case distribution.EventSourceCurrent:
		log.Info("configuration_current")
	case distribution.EventRefusedBy:
		log.Warn("subscription_refused", "parent", event.Peer, "reason", event.Refusal.String())
	case distribution.EventChildAdmitted, distribution.EventChildLost, distribution.EventChildRefused,
		distribution.EventSnapshotSent, distribution.EventCompacted:
		log.Info("distribution_tree", "peer", event.Peer, "detail", event.Kind.String())
	default:
		log.Warn("distribution_message_refused", "peer", event.Peer, "detail", event.Kind.String())
	}
}

// parentLossReason returns the reason why a parent was lost. If the node gives no reason, the
// connection ended.
func parentLossReason(reason distribution.CloseReason) string {
	if reason == 0 {
		return "connection closed"
	}
	return reason.String()
}

// runStatusReports logs the state of the distribution every statusInterval, until ctx ends.
func (d *distributor) runStatusReports(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	last := d.transport.Traffic()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		status, ok := d.transport.Status()
		if !ok {
			return
		}
		now := d.transport.Traffic()
		d.log.Info("distribution_status", "revision", status.Version.Revision, "epoch", status.Version.Epoch.String(),
			"age_s", formatAge(status.Age), "parent", status.Parent, "depth", len(status.Path),
			"children", len(status.Children), "entries", status.Entries,
			"in_bytes_per_s", perSecond(now.In-last.In, statusInterval),
			"out_bytes_per_s", perSecond(now.Out-last.Out, statusInterval), "overflows", now.Overflows)
		last = now
	}
}

// perSecond formats an amount per interval as a rate per second, for the log.
func perSecond(amount int64, interval time.Duration) string {
	return formatDecimal(float64(amount)/interval.Seconds(), 0)
}

// formatAge formats an age for the log, in seconds.
func formatAge(age microseconds) string {
	if age == distribution.NeverCurrent {
		return "unknown"
	}
	return formatDecimal(inSeconds(age), 1)
}
