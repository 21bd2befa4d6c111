package controller

import (
	"slices"
)

// session is a proxy's connection and its outstanding acknowledgements. The event loop owns it.
type session struct {
	conn *connection
	// unacked holds the outstanding acknowledgements, oldest first. At more than limits.maxUnacked,
	// the oldest one is dropped.
	unacked []*pendingAck
	// firstCompleteAck is the first acknowledgement that was requested while every class had a
	// table of this controller. It is set only where ownership is shared.
	firstCompleteAck     *pendingAck
	completeAcknowledged bool // whether the proxy has sent firstCompleteAck, or a later acknowledgement
}

// pendingAck is an acknowledgement that balancer.Controller requested at one clock time. All
// proxies from which it was requested share one pendingAck.
type pendingAck struct {
	nonce int
	// revision is the revision of this member's tables when the push with the request was encoded;
	// 0 if ownership is not shared.
	revision        uint64
	sentBy          microseconds // time by which the push channel has sent the last push with the request
	firstAnsweredAt microseconds // time at which the first proxy acknowledged; 0 until then
}

// isCurrent reports whether a connection is the current one of its proxy: neither replaced by a
// newer one nor dropped.
func (l *eventLoop) isCurrent(conn *connection) bool {
	return conn.proxy < len(l.sessions) && l.sessions[conn.proxy] != nil && l.sessions[conn.proxy].conn == conn
}

// proxyConnected handles a proxy's connection. A newer connection of a proxy replaces the older
// one, and the end of the older connection is then ignored. requestsPerSecond is the approximate
// rate of requests at the proxy, 0 if unknown; mayHoldWithdrawals is true if the proxy may have
// withdrawals of other controllers.
func (l *eventLoop) proxyConnected(conn *connection, requestsPerSecond float64, mayHoldWithdrawals bool) {
	for len(l.sessions) <= conn.proxy {
		l.sessions = append(l.sessions, nil)
	}
	if older := l.sessions[conn.proxy]; older != nil {
		if older.conn.sequence > conn.sequence {
			conn.close(errSuperseded) // this hello was handled after the hello on a newer connection of the proxy
			return
		}
		l.removeSession(conn.proxy)
		older.conn.close(errReplaced)
	}
	l.log.Info("proxy_connected", "proxy", conn.proxy, "zone", l.zoneName(conn.zone),
		"requests_per_s", formatDecimal(requestsPerSecond, 1), "may_hold_withdrawals", mayHoldWithdrawals,
		"remote", conn.socket.RemoteAddr())
	l.sessions[conn.proxy] = &session{conn: conn}
	state := l.connect(conn.proxy, conn, mayHoldWithdrawals)
	if l.ownership != nil {
		state.unowned, state.wantsToken = true, conn.wantsToken
		l.ownership.addPendingProxy(conn.proxy, pendingProxy{
			connectedAt:        l.now,
			zone:               conn.zone,
			requestsPerSecond:  requestsPerSecond,
			mayHoldWithdrawals: mayHoldWithdrawals,
		})
		return
	}
	l.decisions.WithdrawalsHeld(conn.proxy, state.countMaybeWithdrawn())
	l.decisions.ProxyConnected(conn.proxy, conn.zone, requestsPerSecond, mayHoldWithdrawals)
}

// connectionEnded handles the end of a connection. It is the last event of the connection.
func (l *eventLoop) connectionEnded(conn *connection) {
	if conn.kind == kindProxy {
		l.proxyDisconnected(conn)
	}
}

// proxyDisconnected handles the end of a proxy's connection, unless another connection has replaced
// it.
func (l *eventLoop) proxyDisconnected(conn *connection) {
	if l.isCurrent(conn) {
		l.log.Info("proxy_disconnected", "proxy", conn.proxy, "error", conn.closeReason)
		l.removeSession(conn.proxy)
	}
}

// dropProxy closes the connection of a proxy that is silent or whose message could not be encoded
// or sent, and discards its session.
func (l *eventLoop) dropProxy(proxy int, reason error) {
	if reason != errClosed { // errClosed: the connection is closed already, and its method run posts its end
		l.log.Warn("proxy_dropped", "proxy", proxy, "error", reason)
		l.sessions[proxy].conn.close(reason)
	}
	l.removeSession(proxy)
}

// removeSession discards the state of a proxy's connection, and reports the disconnection to
// balancer.Controller if the proxy is known there.
func (l *eventLoop) removeSession(proxy int) {
	l.sessions[proxy] = nil
	l.disconnect(proxy)
	if l.ownership == nil || l.ownership.removeProxy(proxy) {
		l.decisions.ProxyDisconnected(proxy)
	}
}

// dropSilentProxies closes half-open connections. Only outstanding acknowledgements distinguish
// them from idle connections, so a connection is closed if it is silent and an acknowledgement is
// outstanding.
func (l *eventLoop) dropSilentProxies() {
	for proxy, session := range l.sessions {
		if session != nil && l.isSilent(session) {
			l.dropProxy(proxy, errSilent)
		}
	}
}

// isSilent reports whether a proxy has sent nothing for longer than limits.silenceTimeout while an
// acknowledgement was outstanding. The push channel sends queued pushes one by one, so an
// acknowledgement counts as outstanding from the time by which the channel has sent all queued
// pushes. If another proxy has sent the same acknowledgement, the shorter limits.ackLagTimeout
// applies too, from the time of the other proxy's acknowledgement on. The time in which the process
// stalled does not count, because no message was read then; nor is a proxy silent whose input waits
// to be read.
func (l *eventLoop) isSilent(session *session) bool {
	if len(session.unacked) == 0 || session.conn.notRead.Load() {
		return false
	}
	oldest := session.unacked[0]
	silentFor := l.now - max(session.conn.lastMessageAt.Load(), l.stalledAt)
	if min(l.now-oldest.sentBy, silentFor) > l.limits.silenceTimeout {
		return true
	}
	return oldest.firstAnsweredAt > 0 && min(l.now-oldest.firstAnsweredAt, silentFor) > l.limits.ackLagTimeout
}

// expectAck registers that an acknowledgement was requested from a proxy.
func (l *eventLoop) expectAck(proxy int, ack *pendingAck) {
	session := l.sessions[proxy]
	if l.ownership != nil && session.firstCompleteAck == nil && !session.completeAcknowledged &&
		!slices.Contains(l.proxy(proxy).tables, unassigned) {
		session.firstCompleteAck = ack
	}
	session.unacked = append(session.unacked, ack)
	if len(session.unacked) > l.limits.maxUnacked {
		// The proxy does not acknowledge its pushes, although it may send other messages.
		session.unacked = session.unacked[1:]
	}
}

// acknowledged handles a proxy's acknowledgement of a push, which also acknowledges all earlier
// pushes. An acknowledgement from a replaced connection is ignored.
func (l *eventLoop) acknowledged(conn *connection, nonce int) {
	if !l.isCurrent(conn) {
		return
	}
	session := l.sessions[conn.proxy]
	index := slices.IndexFunc(session.unacked, func(ack *pendingAck) bool { return ack.nonce == nonce })
	if index < 0 {
		l.log.Warn("ack_unknown", "proxy", conn.proxy, "nonce", nonce)
		return
	}
	ack := session.unacked[index]
	if ack.firstAnsweredAt == 0 {
		ack.firstAnsweredAt = l.now
	}
	if l.ownership != nil {
		session.completeAcknowledged = session.completeAcknowledged ||
			slices.Contains(session.unacked[:index+1], session.firstCompleteAck)
		if session.completeAcknowledged {
			state := l.proxy(conn.proxy)
			l.ownership.coordinator.ProxyAcknowledged(conn.proxy, ack.revision, state.tables,
				state.cleared || !state.mayHoldWithdrawals)
		}
	}
	session.unacked = slices.Delete(session.unacked, 0, index+1)
	l.decisions.Acknowledged(conn.proxy, nonce)
}
