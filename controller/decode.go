package controller

import (
	"github.com/valyala/fastjson"

	"wheelrill/balancer"
	"wheelrill/internal/settings"
)

// dispatch acts on a message by its kind and by whom it comes from. An error ends the connection; messages that merely make no
// sense are skipped.
func (c *connection) dispatch(message *fastjson.Value) error {
	if duplicateKey(message) != "" { // which of the two counts is anybody's guess
		c.skipMessage("a key stands there twice")
		if c.kind == kindUnidentified {
			return errUnacceptable
		}
		return nil
	}
	switch kind := string(message.GetStringBytes(keyMessage)); kind {
	case messageProbe:
		return c.answerProbe()
	case messageHello:
		return c.handleProxyHello(message)
	case messageAgent:
		return c.handleCollectorHello(message)
	default:
		return c.dispatchIdentified(kind, message)
	}
}

// dispatchIdentified acts on a message that only an identified connection sends, and not each of them.
func (c *connection) dispatchIdentified(kind string, message *fastjson.Value) error {
	switch {
	case c.kind == kindUnidentified:
		c.skipMessage("not expected before it has identified itself")
		return errNotIdentified
	case kind == messageDemand:
		c.handleDemand(message)
	case kind == messageAck && c.kind == kindProxy:
		c.handleAck(message)
	case kind == messageOutcomes && c.kind == kindCollector:
		c.handleOutcomes(message)
	default:
		c.skipMessage("not expected of a " + c.kind.String())
	}
	return nil
}

// answerProbe answers a readiness check of this controller. Where the outbox is full, an unidentified connection ends, and the answer
// to an identified one is lost.
func (c *connection) answerProbe() error {
	err := c.send(aliveMessage)
	if c.kind == kindUnidentified {
		return err
	}
	return nil
}

// skipMessage logs a message that is passed over, with the beginning of its text.
func (c *connection) skipMessage(reason string) {
	const maxShown = 160 // bytes
	text := c.body.Bytes()
	c.log.Warn("message_skipped", "remote", c.socket.RemoteAddr(), "kind", c.kind, "reason", reason,
		"message", string(text[:min(len(text), maxShown)]))
}

// zoneAt reads the index of the sender's zone.
func (c *connection) zoneAt(message *fastjson.Value) (zone int, ok bool) {
	zone, ok = c.loop.zoneIndex[string(message.GetStringBytes(keyZone))]
	return zone, ok
}

// intervalAt reads the time that a report covers, in microseconds and in seconds; none at all, or too long a one, is not usable.
func (c *connection) intervalAt(message *fastjson.Value) (interval microseconds, seconds float64, ok bool) {
	milliseconds, ok := numberAt(message, keyInterval)
	interval = settings.FromMilliseconds(milliseconds)
	return interval, inSeconds(interval), ok && interval > 0 && interval <= c.limits.maxReportInterval
}

// handleCollectorHello takes a collector's first message.
func (c *connection) handleCollectorHello(message *fastjson.Value) error {
	if c.kind != kindUnidentified {
		c.skipMessage("it has said who it is")
		return nil
	}
	zone, ok := c.zoneAt(message)
	if !ok {
		c.skipMessage("unknown zone")
		return errUnacceptable
	}
	return c.identifyAs(kindCollector, -1, zone)
}

// handleProxyHello takes a proxy's first message.
func (c *connection) handleProxyHello(message *fastjson.Value) error {
	if c.kind != kindUnidentified {
		c.skipMessage("it has said who it is") // ending a connected proxy's stream would not count as its leaving
		return nil
	}
	proxy, proxyKnown := indexAt(message, keyProxy, c.limits.proxies)
	zone, zoneKnown := c.zoneAt(message)
	if !proxyKnown || !zoneKnown {
		c.skipMessage("unknown proxy or zone")
		return errUnacceptable
	}
	requestsPerSecond, ok := numberAt(message, keyRate)
	if !ok || requestsPerSecond > c.limits.maxProxyRate {
		requestsPerSecond = 0 // not known: it is served all the same
	}
	mayHoldWithdrawals := !message.GetBool(keyCold) // if nothing is said it may
	c.wantsToken = message.GetBool(keyFence)
	if err := c.identifyAs(kindProxy, proxy, zone); err != nil {
		return err
	}
	c.loop.post(func() { c.loop.proxyConnected(c, requestsPerSecond, mayHoldWithdrawals) })
	return nil
}

// handleAck takes a proxy's acknowledgement.
func (c *connection) handleAck(message *fastjson.Value) {
	nonce, ok := indexAt(message, keyNonce, 1<<16)
	proxy, named := indexAt(message, keyProxy, c.limits.proxies)
	if !ok || named && proxy != c.proxy {
		c.skipMessage("no usable acknowledgement")
		return
	}
	c.loop.post(func() { c.loop.acknowledged(c, nonce) })
}

// handleOutcomes takes a load report of a backend, whole or not at all.
func (c *connection) handleOutcomes(message *fastjson.Value) {
	report, ok := c.decodeOutcomes(message)
	if !ok {
		c.skipMessage("outcomes without usable figures")
		return
	}
	c.loop.tryPost(func() { c.loop.outcomesReported(report) })
}

// decodeOutcomes reads a load report of a backend. Fields that nobody reads are not looked at, but for those that show whether the
// others can be right: its zone and its interval.
func (c *connection) decodeOutcomes(message *fastjson.Value) (report outcomeReport, ok bool) {
	interval, seconds, intervalOK := c.intervalAt(message)
	attempts, attemptsOK := countAt(message, keyCount, c.limits.maxFleetRate, seconds)
	failed, failedOK := countAt(message, keyFailed, c.limits.maxFleetRate, seconds)
	latency, latencyKnown := numberAt(message, keyLatency)
	meanLatency := settings.FromMilliseconds(latency)
	load, loadOK := c.decodeLoad(message.Get(keyLoad))
	_, zoneKnown := c.zoneAt(message)
	backend := string(message.GetStringBytes(keyBackend))

	countsOK := attemptsOK && failedOK && failed <= attempts
	latencyOK := failed >= attempts || latencyKnown && meanLatency <= c.limits.maxResponseTime // none is needed where all failed
	if !countsOK || !latencyOK || !intervalOK || !loadOK || !zoneKnown || backend == "" {
		return outcomeReport{}, false
	}
	return outcomeReport{backend, attempts, failed, meanLatency, interval, load}, true
}

// decodeLoad reads what a backend reports of itself, which may be missing in part or whole; not ok if any of it makes no sense.
func (c *connection) decodeLoad(metrics *fastjson.Value) (load balancer.BackendLoad, ok bool) {
	invalid := metrics != nil && metrics.Type() != fastjson.TypeObject
	maxServiceTime := float64(c.limits.maxResponseTime) / 1000 // ms
	load = balancer.BackendLoad{
		CPUUtilization: numberAtEither(metrics, keyUtilization, keyCPU, c.limits.maxUtilization, &invalid),
		QueueLength:    numberAtEither(metrics, keyQueue, keyWaiting, c.limits.maxQueueLength, &invalid),
		ServiceTime:    1000 * numberAtEither(metrics, keyServiceTime, keyMeanMS, maxServiceTime, &invalid),
	}
	return load, !invalid
}

// handleDemand takes a load report of a proxy; it may come over the proxy's connection or any collector's.
func (c *connection) handleDemand(message *fastjson.Value) {
	proxy, proxyKnown := indexAt(message, keyProxy, c.limits.proxies)
	class, classKnown := c.loop.classIndex[string(message.GetStringBytes(keyClass))]
	interval, seconds, intervalOK := c.intervalAt(message)
	count, countOK := countAt(message, keyCount, c.limits.maxProxyRate, seconds)
	anothers := c.kind == kindProxy && proxy != c.proxy
	if !proxyKnown || !classKnown || !intervalOK || !countOK || anothers {
		c.skipMessage("demand without usable figures")
		return
	}
	c.loop.tryPost(func() { c.loop.demandReported(proxy, class, count, interval) })
}
