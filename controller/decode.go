package controller

import (
	"github.com/valyala/fastjson"

	"wheelrill/balancer"
	"wheelrill/internal/settings"
)

// dispatch handles a message according to its kind and the kind of the connection. An error that
// dispatch returns ends the connection. dispatch returns errors only for unidentified connections;
// for an identified connection it logs and skips invalid messages.
// It returns the event that the message leads to, if any; the event does not refer to the message.
func (c *connection) dispatch(message *fastjson.Value, hasDuplicateKey bool) (event func(), err error) {
	if hasDuplicateKey { // it is ambiguous which of the values of the key applies
		c.skipMessage("duplicate key")
		if c.kind == kindUnidentified {
			return nil, errUnacceptable
		}
		return nil, nil
	}
	switch kind := string(message.GetStringBytes(keyMessage)); kind {
	case messageProbe:
		return nil, c.answerProbe()
	case messageHello:
		return c.handleProxyHello(message)
	case messageAgent:
		return nil, c.handleCollectorHello(message)
	default:
		return c.dispatchIdentified(kind, message)
	}
}

// dispatchIdentified handles a message that only an identified connection may send.
// Acknowledgements are accepted only from proxies, and outcomes only from collectors.
func (c *connection) dispatchIdentified(kind string, message *fastjson.Value) (event func(), err error) {
	switch {
	case c.kind == kindUnidentified:
		c.skipMessage("not allowed before the connection has identified itself")
		return nil, errNotIdentified
	case kind == messageDemand:
		return c.handleDemand(message), nil
	case kind == messageAck && c.kind == kindProxy:
		return c.handleAck(message), nil
	case kind == messageOutcomes && c.kind == kindCollector:
		return c.handleOutcomes(message), nil
	default:
		c.skipMessage("not allowed from a " + c.kind.String())
		return nil, nil
	}
}

// answerProbe answers a readiness check of this controller. If the outbox is full, an unidentified
// connection ends; an identified connection stays, and gets no answer.
func (c *connection) answerProbe() error {
	err := c.send(aliveMessage)
	if c.kind == kindUnidentified {
		return err
	}
	return nil
}

// skipMessage logs that the message being read is skipped, with the beginning of its text. There
// are only a few different reasons, as the log lines are rate limited by reason.
func (c *connection) skipMessage(reason string) {
	const maxShown = 160 // maximum number of bytes of the message in the log line
	text := c.body
	c.log.Warn("message_skipped", "remote", c.socket.RemoteAddr(), "kind", c.kind, "reason", reason,
		"message", string(text[:min(len(text), maxShown)]))
}

// zoneAt reads the sender's zone, and returns its index. ok is false if the zone is unknown.
func (c *connection) zoneAt(message *fastjson.Value) (zone int, ok bool) {
	zone, ok = c.loop.zoneIndex[string(message.GetStringBytes(keyZone))]
	return zone, ok
}

// intervalAt reads the interval that a report covers, and returns it in microseconds and in
// seconds. ok is false if the interval is missing, invalid, 0, or above limits.maxReportInterval.
func (c *connection) intervalAt(message *fastjson.Value) (interval microseconds, seconds float64, ok bool) {
	milliseconds, ok := numberAt(message, keyInterval)
	interval = settings.FromMilliseconds(milliseconds)
	return interval, inSeconds(interval), ok && interval > 0 && interval <= c.limits.maxReportInterval
}

// handleCollectorHello handles the message with which a collector identifies itself.
func (c *connection) handleCollectorHello(message *fastjson.Value) error {
	if c.kind != kindUnidentified {
		c.skipMessage("the connection has already identified itself")
		return nil
	}
	zone, ok := c.zoneAt(message)
	if !ok {
		c.skipMessage("unknown zone")
		return errUnacceptable
	}
	return c.identifyAs(kindCollector, -1, zone)
}

// handleProxyHello handles the message with which a proxy identifies itself.
func (c *connection) handleProxyHello(message *fastjson.Value) (event func(), err error) {
	if c.kind != kindUnidentified {
		// A second hello is skipped and does not end the connection: an end would be handled as the
		// disconnection of a proxy that has not left.
		c.skipMessage("the connection has already identified itself")
		return nil, nil
	}
	proxy, proxyKnown := indexAt(message, keyProxy, c.limits.proxies)
	zone, zoneKnown := c.zoneAt(message)
	if !proxyKnown || !zoneKnown {
		c.skipMessage("unknown proxy or zone")
		return nil, errUnacceptable
	}
	requestsPerSecond, ok := numberAt(message, keyRate)
	if !ok || requestsPerSecond > c.limits.maxProxyRate {
		requestsPerSecond = 0 // 0 means that the rate is unknown; the proxy is served nevertheless
	}
	mayHoldWithdrawals := !message.GetBool(keyCold) // mayHoldWithdrawals is also true if the hello lacks keyCold
	c.wantsToken = message.GetBool(keyFence)
	if err := c.identifyAs(kindProxy, proxy, zone); err != nil {
		return nil, err
	}
	return func() { c.loop.proxyConnected(c, requestsPerSecond, mayHoldWithdrawals) }, nil
}

// handleAck handles a proxy's acknowledgement.
func (c *connection) handleAck(message *fastjson.Value) (event func()) {
	nonce, ok := indexAt(message, keyNonce, 1<<16)
	proxy, hasProxy := indexAt(message, keyProxy, c.limits.proxies)
	if !ok || hasProxy && proxy != c.proxy {
		c.skipMessage("acknowledgement with an invalid nonce, or of another proxy")
		return nil
	}
	return func() { c.loop.acknowledged(c, nonce) }
}

// handleOutcomes handles a load report about a backend. A report with any invalid field is skipped
// as a whole.
func (c *connection) handleOutcomes(message *fastjson.Value) (event func()) {
	report, ok := c.decodeOutcomes(message)
	if !ok {
		c.skipMessage("outcomes with a missing or invalid field")
		return nil
	}
	return func() { c.loop.outcomesReported(report) }
}

// decodeOutcomes reads a load report about a backend. It ignores fields that it does not use. It
// requires a known zone and a valid interval, although it does not return the zone: if one of them
// is invalid, the other fields can be wrong too.
func (c *connection) decodeOutcomes(message *fastjson.Value) (report outcomeReport, ok bool) {
	interval, seconds, intervalOK := c.intervalAt(message)
	attempts, attemptsOK := countAt(message, keyCount, c.limits.maxFleetRate, seconds)
	failed, failedOK := countAt(message, keyFailed, c.limits.maxFleetRate, seconds)
	latency, latencyKnown := numberAt(message, keyLatency)
	meanLatency := settings.FromMilliseconds(latency)
	load, loadOK := c.decodeLoad(message.Get(keyLoad))
	_, zoneKnown := c.zoneAt(message)
	backend := message.GetStringBytes(keyBackend)

	countsOK := attemptsOK && failedOK && failed <= attempts
	// A report in which all attempts failed needs no latency.
	latencyOK := failed >= attempts || latencyKnown && meanLatency <= c.limits.maxResponseTime
	idOK := len(backend) > 0 && len(backend) <= c.limits.maxIDBytes
	if !countsOK || !latencyOK || !intervalOK || !loadOK || !zoneKnown || !idOK {
		return outcomeReport{}, false
	}
	return outcomeReport{string(backend), attempts, failed, meanLatency, interval, load}, true
}

// decodeLoad reads the load figures that a backend reports about itself. A missing figure is
// negative. ok is false if any figure is invalid.
func (c *connection) decodeLoad(metrics *fastjson.Value) (load balancer.BackendLoad, ok bool) {
	invalid := metrics != nil && metrics.Type() != fastjson.TypeObject
	maxServiceTime := float64(c.limits.maxResponseTime) / 1000 // maximum service time in ms, the unit of the report
	load = balancer.BackendLoad{
		CPUUtilization: numberAtEither(metrics, keyUtilization, keyCPU, c.limits.maxUtilization, &invalid),
		QueueLength:    numberAtEither(metrics, keyQueue, keyWaiting, c.limits.maxQueueLength, &invalid),
		ServiceTime:    1000 * numberAtEither(metrics, keyServiceTime, keyMeanMS, maxServiceTime, &invalid),
	}
	return load, !invalid
}

// handleDemand handles a load report about a proxy. The report may arrive on the proxy's connection
// or on the connection of any collector.
func (c *connection) handleDemand(message *fastjson.Value) (event func()) {
	proxy, proxyKnown := indexAt(message, keyProxy, c.limits.proxies)
	class, classKnown := c.loop.classIndex[string(message.GetStringBytes(keyClass))]
	interval, seconds, intervalOK := c.intervalAt(message)
	count, countOK := countAt(message, keyCount, c.limits.maxProxyRate, seconds)
	otherProxy := c.kind == kindProxy && proxy != c.proxy
	if !proxyKnown || !classKnown || !intervalOK || !countOK || otherProxy {
		c.skipMessage("demand with a missing or invalid field, or of another proxy")
		return nil
	}
	return func() {
		if c.kind == kindCollector || c.loop.isCurrent(c) {
			c.loop.demandReported(proxy, class, count, interval)
		}
	}
}
