package ownership

import "slices"

// ProxyConnected is told that a proxy's stream has begun. The proxy is granted once its claim is on the record, or at once
// without a quorum. Until then the caller writes nothing to it: a later owner would not know of it.
func (c *Coordinator) ProxyConnected(proxy int, now Microseconds) {
	state := &claimState{}
	if c.inFlight != nil {
		for _, claims := range [][]int{c.inFlight.Claims, c.inFlight.Reclaims} {
			if slices.Contains(claims, proxy) {
				state.staleClaims++
			}
		}
	}
	c.proxies[proxy] = state
	c.claim(proxy, newStream)
	if c.withoutQuorum {
		c.grantWithoutQuorum(proxy, now)
	}
	c.proposePending(now)
}

// ProxyDisconnected is told that a proxy's stream has ended. It stays ours by the record until another claims it.
func (c *Coordinator) ProxyDisconnected(proxy int) {
	delete(c.proxies, proxy)
	isProxy := func(other int) bool { return other == proxy }
	c.pending.Claims = slices.DeleteFunc(c.pending.Claims, isProxy)
	c.pending.Reclaims = slices.DeleteFunc(c.pending.Reclaims, isProxy)
}

// ProxyActiveAt is told when a proxy was last heard from on its stream. A connected proxy without a claim of ours is
// claimed again once it is heard from.
func (c *Coordinator) ProxyActiveAt(proxy int, at Microseconds) {
	state := c.proxies[proxy]
	if state != nil && state.unclaimedSince > 0 && at > state.unclaimedSince+c.terms.RenewInterval {
		c.claim(proxy, sameStream)
	}
}

// claim puts a claim of a connected proxy into the next entry.
func (c *Coordinator) claim(proxy int, kind claimKind) {
	state := c.proxies[proxy]
	state.claimToken = 0
	state.unclaimedSince = 0
	switch {
	case kind == sameStream:
		c.pending.Reclaims = append(c.pending.Reclaims, proxy)
	case !slices.Contains(c.pending.Claims, proxy):
		c.pending.Claims = append(c.pending.Claims, proxy)
	}
}

// ProxyAcknowledged is told that a proxy has applied all that we wrote to it up to a revision, and which tables its classes
// are bound to, -1 for none. If withdrawalsKnown, it holds the withdrawals that we ordered, and none of an earlier owner.
func (c *Coordinator) ProxyAcknowledged(proxy int, revision uint64, tables []int, withdrawalsKnown bool) {
	state := c.proxies[proxy]
	if state == nil || revision < state.acknowledgedRevision || slices.Contains(tables, -1) {
		return
	}
	if state.acknowledgedRevision == revision && state.withdrawalsKnown == withdrawalsKnown && slices.Equal(state.acknowledgedTables, tables) {
		return
	}
	state.acknowledgedRevision = revision
	state.acknowledgedTables = slices.Clone(tables)
	state.withdrawalsKnown = withdrawalsKnown
	c.addConfirmation(proxy, state)
}

// addConfirmation puts what a proxy of ours has acknowledged into the next entry.
func (c *Coordinator) addConfirmation(proxy int, state *claimState) {
	if state.claimToken == 0 || state.acknowledgedRevision == 0 {
		return
	}
	confirmation := Confirmation{
		Proxy:            proxy,
		Token:            state.claimToken,
		Revision:         state.acknowledgedRevision,
		Tables:           state.acknowledgedTables,
		WithdrawalsKnown: state.withdrawalsKnown,
	}
	sameProxy := func(other Confirmation) bool { return other.Proxy == proxy }
	if at := slices.IndexFunc(c.pending.Confirmations, sameProxy); at >= 0 {
		c.pending.Confirmations[at] = confirmation
		return
	}
	c.pending.Confirmations = append(c.pending.Confirmations, confirmation)
}

// applyMove follows a change of owners that is committed.
func (c *Coordinator) applyMove(move Move, now Microseconds) {
	state := c.proxies[move.Proxy]
	if state == nil {
		return
	}
	ours := move.To.Incarnation == c.incarnation
	switch {
	case ours && state.staleClaims > 0:
		state.staleClaims--
	case ours:
		c.gainProxy(state, move, now)
	case state.owned && move.To.Token > state.claimToken && move.To.Owner != c.name:
		c.loseProxy(state, move.Proxy, now)
	}
}

// gainProxy is told that our claim of a proxy is committed. The host is not told the token of a proxy that it was granted
// before: its messages keep the token of the grant.
func (c *Coordinator) gainProxy(state *claimState, move Move, now Microseconds) {
	state.owned = true
	state.claimToken = move.To.Token
	state.unclaimedSince = 0
	if state.granted {
		c.addConfirmation(move.Proxy, state)
		return
	}
	c.grantByRecord(move, now)
}

// loseProxy gives up a proxy that another member has claimed: it is connected to us still, but not ours. Its stream may be
// half-open; if the proxy is active on it later it is claimed again. SnapshotRestored does the like for a proxy that was
// lost in between.
func (c *Coordinator) loseProxy(state *claimState, proxy int, now Microseconds) {
	state.owned = false
	state.claimToken = 0
	state.unclaimedSince = now
	if state.granted {
		c.host.MessagesSentByPeers(proxy, c.terms.OwnerQuota())
	}
}
