package controller

import (
	"slices"
)

// session is a proxy's connection, and what it has not acknowledged. The event loop owns it.
type session struct {
	conn    *connection
	unacked []*pendingAck // the oldest first; limits.maxUnacked of them, then the oldest is forgotten
	// firstComplete is the first that went out when each class had a table of ours; kept only where ownership is shared.
	firstComplete *pendingAck
	complete      bool // firstComplete was acknowledged
}

// pendingAck is an acknowledgement that was asked for at some clock time, from however many proxies.
type pendingAck struct {
	nonce           int
	revision        uint64       // of our tables on the record then, where ownership is shared
	sentBy          microseconds // when the last push that asks for it can have left the channel
	firstAnsweredAt microseconds // when the first proxy gave it; 0 before
}

// isCurrent tells whether a connection is its proxy's, and was not replaced.
func (l *eventLoop) isCurrent(conn *connection) bool {
	return conn.proxy < len(l.sessions) && l.sessions[conn.proxy] != nil && l.sessions[conn.proxy].conn == conn
}

// proxyConnected takes a proxy's connection. A newer one replaces the older, whose end then says nothing. requestsPerSecond is what
// roughly arrives at the proxy, 0 if unknown; mayHoldWithdrawals tells whether it may have withdrawals of other controllers.
func (l *eventLoop) proxyConnected(conn *connection, requestsPerSecond float64, mayHoldWithdrawals bool) {
	for len(l.sessions) <= conn.proxy {
		l.sessions = append(l.sessions, nil)
	}
	if older := l.sessions[conn.proxy]; older != nil {
		if older.conn.sequence > conn.sequence {
			conn.close(errSuperseded) // its hello was under way for longer than the next connection took
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
		l.ownership.proxyJoined(conn.proxy, pendingProxy{conn.zone, requestsPerSecond, mayHoldWithdrawals})
		return
	}
	l.decisions.ProxyConnected(conn.proxy, conn.zone, requestsPerSecond, mayHoldWithdrawals)
}

// proxyDisconnected takes the end of a proxy's connection, unless another has replaced it.
func (l *eventLoop) proxyDisconnected(conn *connection) {
	if l.isCurrent(conn) {
		l.log.Info("proxy_disconnected", "proxy", conn.proxy, "error", conn.closeReason)
		l.removeSession(conn.proxy)
	}
}

// dropProxy closes the connection of a proxy that cannot be reached.
func (l *eventLoop) dropProxy(proxy int, reason error) {
	if reason != errClosed { // else its end is on its way already
		l.log.Warn("proxy_dropped", "proxy", proxy, "error", reason)
		l.sessions[proxy].conn.close(reason)
	}
	l.removeSession(proxy)
}

// removeSession ends what is kept of a proxy's connection.
func (l *eventLoop) removeSession(proxy int) {
	l.sessions[proxy] = nil
	l.disconnect(proxy)
	if l.ownership == nil || l.ownership.proxyLeft(proxy) {
		l.decisions.ProxyDisconnected(proxy)
	}
}

// dropSilentProxies closes connections that are half-open. They cannot be told from quiet ones but by acknowledgements that are
// missing, so both are asked for.
func (l *eventLoop) dropSilentProxies() {
	for proxy, session := range l.sessions {
		if session != nil && l.isSilent(session) {
			l.dropProxy(proxy, errSilent)
		}
	}
}

// isSilent tells whether a proxy was not heard of for too long, and has left an acknowledgement out for as long. Pushes leave the
// channel one by one, so time counts from when all that waits can have left; where another proxy has given the same
// acknowledgement, less time will do. While the process stalled it heard nobody, which says nothing of the proxy.
func (l *eventLoop) isSilent(session *session) bool {
	if len(session.unacked) == 0 {
		return false
	}
	oldest := session.unacked[0]
	unheard := l.now - max(session.conn.lastMessageAt.Load(), l.stalledAt)
	if min(l.now-oldest.sentBy, unheard) > l.limits.silenceTimeout {
		return true
	}
	return oldest.firstAnsweredAt > 0 && min(l.now-oldest.firstAnsweredAt, unheard) > l.limits.ackLagTimeout
}

// expectAck notes that a proxy was asked for an acknowledgement.
func (l *eventLoop) expectAck(proxy int, ack *pendingAck) {
	session := l.sessions[proxy]
	if l.ownership != nil && session.firstComplete == nil && !session.complete && !slices.Contains(l.proxy(proxy).tables, unbound) {
		session.firstComplete = ack
	}
	session.unacked = append(session.unacked, ack)
	if len(session.unacked) > l.limits.maxUnacked {
		session.unacked = session.unacked[1:] // it talks, but acknowledges nothing
	}
}

// acknowledged takes an acknowledgement, which stands for all before it. From a connection that was replaced it says nothing.
func (l *eventLoop) acknowledged(conn *connection, nonce int) {
	if !l.isCurrent(conn) {
		return
	}
	session := l.sessions[conn.proxy]
	at := slices.IndexFunc(session.unacked, func(ack *pendingAck) bool { return ack.nonce == nonce })
	if at < 0 {
		l.log.Warn("ack_unknown", "proxy", conn.proxy, "nonce", nonce)
		return
	}
	ack := session.unacked[at]
	if ack.firstAnsweredAt == 0 {
		ack.firstAnsweredAt = l.now
	}
	if l.ownership != nil {
		session.complete = session.complete || slices.Contains(session.unacked[:at+1], session.firstComplete)
		if session.complete {
			state := l.proxy(conn.proxy)
			l.ownership.coordinator.ProxyAcknowledged(conn.proxy, ack.revision, state.tables, state.cleared || !state.mayHoldWithdrawals)
		}
	}
	session.unacked = slices.Delete(session.unacked, 0, at+1)
	l.decisions.Acknowledged(conn.proxy, nonce)
}
