package ownership

import "slices"

// grantByRecord grants a proxy whose claim is on the record. What previous owners may have written
// within the message window counts as written.
func (c *Coordinator) grantByRecord(move Move, now Microseconds) {
	moves := c.recentMoves(move.To.Moves, now)
	c.grant(move.Proxy, move, c.terms.ownerQuotaAfter(0)-c.terms.ownerQuotaAfter(moves), now)
}

// grantWithoutQuorum grants a proxy whose content and previous owners are not known: the member may
// write only the unowned quota, which every member has.
func (c *Coordinator) grantWithoutQuorum(proxy int, now Microseconds) {
	c.grant(proxy, Move{}, c.terms.ownerQuotaAfter(0), now)
}

func (c *Coordinator) grant(proxy int, move Move, sentMessages int, now Microseconds) {
	state := c.proxies[proxy]
	state.granted = true
	state.windowStart = now
	if c.forgotUnownedMessages(proxy, now) {
		sentMessages += c.terms.UnownedQuota() - 1
	}
	c.grantTimes[proxy] = append(c.grantTimes[proxy], now)
	if c.recentMoves(move.To.Moves, now) <= maxMovesWithReserve {
		maxSent := c.terms.MemberQuota() - c.terms.GuaranteedMessages
		sentMessages = max(0, min(sentMessages, maxSent))
	}
	c.host.ProxyGranted(Grant{
		Proxy:         proxy,
		Token:         state.claimToken,
		Base:          move.Base,
		NoWithdrawals: move.NoWithdrawals,
		Demand:        move.Demand,
		SentMessages:  sentMessages,
	})
}

// forgotUnownedMessages reports whether this member may have written messages to a proxy within the
// message window of which it has no count any more: the member has started within the window, or
// was already granted the proxy within the window. The method drops the times of grants from before
// the window.
func (c *Coordinator) forgotUnownedMessages(proxy int, now Microseconds) bool {
	windowPassed := func(at Microseconds) bool { return now-at >= c.terms.MessageWindow }
	recentGrants := slices.DeleteFunc(c.grantTimes[proxy], windowPassed)
	c.grantTimes[proxy] = recentGrants
	return len(recentGrants) > 0 || !windowPassed(c.startedAt)
}

// recentMoves counts the moves of a proxy whose stamps are within the message window.
func (c *Coordinator) recentMoves(moves []Stamp, now Microseconds) (count int) {
	for _, stamp := range moves {
		if c.stampAge(stamp, now) < c.terms.MessageWindow {
			count++
		}
	}
	return count
}
