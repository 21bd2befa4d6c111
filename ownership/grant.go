package ownership

import "slices"

// grantByRecord grants a proxy whose claim is on the record. Where more owners than quotas are set aside for had it within
// the window, the owner quota counts as used.
func (c *Coordinator) grantByRecord(move Move, now Microseconds) {
	sent := 0
	if c.recentMoves(move.To.Moves, now) > previousOwnersCounted {
		sent = c.terms.OwnerQuota()
	}
	c.grant(move.Proxy, move, sent, now)
}

// grantWithoutQuorum grants a proxy of which nothing is known: it has no more than what every member may write.
func (c *Coordinator) grantWithoutQuorum(proxy int, now Microseconds) {
	c.grant(proxy, Move{}, c.terms.OwnerQuota(), now)
}

func (c *Coordinator) grant(proxy int, move Move, sent int, now Microseconds) {
	state := c.proxies[proxy]
	state.granted = true
	state.windowFrom = now
	if c.forgotUnownedMessages(proxy, now) {
		sent += c.terms.UnownedQuota() - 1
	}
	c.grantTimes[proxy] = append(c.grantTimes[proxy], now)
	if c.recentMoves(move.To.Moves, now) <= maxMovesWithReserve {
		most := c.terms.UnownedQuota() + c.terms.OwnerQuota() - c.terms.GuaranteedMessages
		sent = max(0, min(sent, most))
	}
	c.host.ProxyGranted(Grant{
		Proxy:         proxy,
		Token:         state.claimToken,
		Base:          move.Base,
		NoWithdrawals: move.NoWithdrawals,
		Demand:        move.Demand,
		SentMessages:  sent,
	})
}

// forgotUnownedMessages tells whether we may have written to a proxy within the window and do not know of it: we have
// started since, or have had the proxy before. It drops the grants that are older.
func (c *Coordinator) forgotUnownedMessages(proxy int, now Microseconds) bool {
	over := func(at Microseconds) bool { return now-at >= c.terms.MessageWindow }
	recent := slices.DeleteFunc(c.grantTimes[proxy], over)
	c.grantTimes[proxy] = recent
	return len(recent) > 0 || !over(c.started)
}

// recentMoves counts the moves within the window.
func (c *Coordinator) recentMoves(moves []Stamp, now Microseconds) (count int) {
	for _, stamp := range moves {
		if c.stampAge(stamp, now) < c.terms.MessageWindow {
			count++
		}
	}
	return count
}
