package ownership

import "slices"

// ProxyConnected handles the start of a proxy's stream. The proxy is granted once its claim is on
// the record, or at once if this member is without quorum. Until then the caller must not write to
// the proxy: the record would not show a later owner what was written.
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
		c.grant(proxy, Move{})
	}
	c.proposePending(now)
}

// ProxyDisconnected handles the end of a proxy's stream. This member stays the owner on the record
// until another member claims the proxy.
func (c *Coordinator) ProxyDisconnected(proxy int) {
	delete(c.proxies, proxy)
	isProxy := func(other int) bool { return other == proxy }
	c.pending.Claims = slices.DeleteFunc(c.pending.Claims, isProxy)
	c.pending.Reclaims = slices.DeleteFunc(c.pending.Reclaims, isProxy)
}

// ProxyActiveAt handles a report of the time at which a proxy was last active on its stream. A
// connected proxy that this member lost, or has not claimed since its incarnation began, is claimed
// again if it was active more than LeaseTerms.RenewInterval after the loss or after the beginning
// of the incarnation.
func (c *Coordinator) ProxyActiveAt(proxy int, at Microseconds) {
	state := c.proxies[proxy]
	if state != nil && state.unclaimedSince > 0 && at > state.unclaimedSince+c.terms.RenewInterval {
		c.claim(proxy, sameStream)
	}
}

// claim adds a claim of a connected proxy to the next entry.
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

// ProxyAcknowledged records that a proxy has applied everything that this member wrote to it up to
// a revision, and the number of the table to which each of the proxy's classes is bound. A table
// number of -1 marks a class that is bound to no table; an acknowledgement with such a class is
// ignored. If withdrawalsKnown is set, the proxy holds the withdrawals that this member ordered, and
// none by an earlier owner.
func (c *Coordinator) ProxyAcknowledged(proxy int, revision uint64, tables []int, withdrawalsKnown bool) {
	state := c.proxies[proxy]
	if state == nil || revision < state.acknowledgedRevision || slices.Contains(tables, -1) {
		return
	}
	if state.acknowledgedRevision == revision && state.withdrawalsKnown == withdrawalsKnown &&
		slices.Equal(state.acknowledgedTables, tables) {
		return
	}
	state.acknowledgedRevision = revision
	state.acknowledgedTables = slices.Clone(tables)
	state.withdrawalsKnown = withdrawalsKnown
	c.addConfirmation(proxy, state)
}

// addConfirmation adds the last acknowledgement by an owned proxy to the next entry.
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
	if index := slices.IndexFunc(c.pending.Confirmations, sameProxy); index >= 0 {
		c.pending.Confirmations[index] = confirmation
		return
	}
	c.pending.Confirmations = append(c.pending.Confirmations, confirmation)
}

// applyMove updates the state of a connected proxy after a committed change of its owner.
func (c *Coordinator) applyMove(move Move, now Microseconds) {
	state := c.proxies[move.Proxy]
	if state == nil {
		return
	}
	ownClaim := move.To.Incarnation == c.incarnation
	switch {
	case ownClaim && state.staleClaims > 0:
		state.staleClaims--
	case ownClaim:
		c.gainProxy(state, move)
	case state.owned && move.To.Token > state.claimToken && move.To.Owner != c.name:
		c.loseProxy(state, now)
	}
}

// gainProxy handles the commit of this member's claim of a proxy. If the proxy was granted before,
// the host does not get the new token: messages keep the token of the grant.
func (c *Coordinator) gainProxy(state *claimState, move Move) {
	state.owned = true
	state.claimToken = move.To.Token
	state.unclaimedSince = 0
	if state.granted {
		c.addConfirmation(move.Proxy, state)
		return
	}
	c.grant(move.Proxy, move)
}

// loseProxy gives up a proxy that another member has claimed: the proxy is still connected to this
// member, which does not own it any more. The stream may be half-open; if the proxy is active on it
// later, the proxy is claimed again. If the other member's claim is contained in a restored
// snapshot instead of an applied entry, SnapshotRestored gives up the proxy.
func (c *Coordinator) loseProxy(state *claimState, now Microseconds) {
	state.owned = false
	state.claimToken = 0
	state.unclaimedSince = now
}
