package balancer

import (
	"math"
	"slices"
)

// bindWaiting gives whole tables to proxies that hold those of others, as there is room: the busiest first,
// but those that waited for half the grace before all. Who waits hears at once of levels and withdrawals, as
// rule 3 binds whatever table it brought, unless a table comes in time for little more. Then all are cleared.
func (c *Controller) syncProxies(now int64) {
	unbound, bound, l, spare := 0, 0, &c.queue, c.queue.capacity()/4 // spare is kept for what cannot wait
	header, sizes := l.messageOverhead(), map[int]float64{}
	outs, message := c.withdrawalCost()
	if len(c.syncQueue) == 0 || !l.hasCapacity(header, false) && !l.hasCapacity(message+spare, true) {
		return // thousands may wait, and this is looked at with each mark
	}
	for _, i := range c.syncQueue {
		unbound += count(c.proxies[i].connected && !c.proxies[i].assigned)
	}
	c.reserveForTables(now, sizes)
	for _, aged := range []bool{true, false} {
		for _, i := range c.syncQueue {
			p := c.proxies[i]
			if now-p.connectedAt > c.rules.DrainGrace/2 != aged {
				continue
			}
			lines, cost, bare := c.fullTableCost(p, sizes)
			due := !c.queueCongested || !p.assigned && l.wouldDelayTables(0)
			ready := p.connected && !bare && due && l.hasCapacity(cost, false) && l.mayPush(p, now, false)
			switch {
			case ready && !p.assigned:
				p.assigned, bound, l.reservedLines = true, bound+1, l.reservedLines-cost
				c.charge(p, 1+cost-header+min(p.heldWithdrawals, lines))
				c.eachTable(p.subset, p.zone, func(table int, classes uint16) { c.host.AssignTable(table, i, classes) })
			case ready && p.mayHoldForeign && !p.withdrawalsCleared && unbound == 0 && l.hasCapacity(lines+spare, false):
				p.withdrawalsCleared = true
				c.charge(p, lines)
				c.host.ClearWithdrawals(i)
			case !p.assigned && !p.withdrawalsSynced && (p.mayHoldForeign || outs > 0) && l.mayPush(p, now, true) &&
				(bare || 2*message <= cost) && (aged || !c.queueCongested && !c.tablesSuffice(cost, message, unbound)) &&
				l.hasCapacity(message+spare, true) && c.host.SyncWithdrawals(i, unlimitedRate, RetryIfNotExecuted):
				p.withdrawalsSynced, p.heldWithdrawals = true, outs
				c.charge(p, outs+float64(len(c.classes)))
			}
		}
	}
	c.syncQueue = slices.DeleteFunc(c.syncQueue, func(id int) bool {
		p := c.proxies[id]
		return !p.connected || p.assigned && p.withdrawalsCleared == p.mayHoldForeign
	})
	if bound > 0 && unbound == bound {
		c.syncProxies(now) // what is to be cleared may go along
	}
}

// binds tells whether those who wait are as well bound as told by messages of their own.
func (c *Controller) tablesSuffice(table, message float64, waiting int) bool {
	return table <= 3*message && table*float64(waiting) <= tablesShareOfGrace*c.queue.linesSentIn(c.remainingGrace)
}

// relevels is how many lines of levels a whole table takes along, as it makes a proxy forget them.
func (c *Controller) tableLimitLines() float64 {
	return max(c.queue.LimitLines, float64(len(c.classes)*count(c.admission.limitsSent)))
}

// withdrawals is how many there are, and what a message costs that tells one proxy of all of them.
func (c *Controller) withdrawalCost() (outs, message float64) {
	for _, b := range c.backends {
		outs += float64(count(b.withdrawn))
	}
	return outs, c.queue.messageOverhead() + outs + float64(len(c.classes))
}

// whole is the lines of a proxy's tables, what they cost with header and levels, and whether one is empty.
func (c *Controller) fullTableCost(p *proxyState, sizes map[int]float64) (lines, cost float64, bare bool) {
	cost = c.queue.messageOverhead() + c.tableLimitLines()
	c.eachTable(p.subset, p.zone, func(table int, _ uint16) {
		n, known := sizes[table]
		if !known {
			n = float64(c.tableSize(table))
			sizes[table] = n
		}
		lines, cost, bare = lines+n, cost+n+1, bare || n == 0
	})
	return lines, cost, bare
}

// owing sums what those who wait for their tables cost, and how much may stand in the channel for the first of them to
// have its in time.
func (c *Controller) reserveForTables(now int64, sizes map[int]float64) {
	l := &c.queue
	l.reservedLines, l.maxQueuedBeforeTables = 0, math.Inf(1)
	for _, i := range c.syncQueue {
		p := c.proxies[i]
		if !p.connected || p.assigned {
			continue
		}
		if _, cost, bare := c.fullTableCost(p, sizes); !bare {
			l.reservedLines += cost
			l.maxQueuedBeforeTables = min(l.maxQueuedBeforeTables, tablesShareOfGrace*l.linesSentIn(c.remainingGrace)-l.linesSentIn(l.MaxLatency+now-p.connectedAt))
		}
	}
}
