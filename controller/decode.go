package controller

import (
	"github.com/valyala/fastjson"

	"wheelrill/balancer"
	"wheelrill/internal/settings"
)

// dispatch acts on a message by its kind and by whom it comes from.
func (c *connection) dispatch(m *fastjson.Value) error {
	if key := duplicateKey(m); key != "" { // which of the two counts is anybody's guess
		if c.skipMessage("a key stands there twice"); c.kind == kindUnidentified {
			return errUnacceptable
		}
		return nil
	}
	switch word := string(m.GetStringBytes("msg")); {
	case word == "probe":
		if err := c.send(aliveMessage); err != nil && c.kind == kindUnidentified {
			return err
		}
	case word == "hello":
		return c.proxyHello(m)
	case word == "agent":
		return c.collectorHello(m)
	case word == "ack" && c.kind == kindProxy:
		c.ack(m)
	case word == "outcomes" && c.kind == kindCollector:
		c.outcomes(m)
	case word == "demand" && c.kind != kindUnidentified:
		c.demand(m)
	case c.kind == kindUnidentified:
		c.skipMessage("not expected of a stranger")
		return errNotIdentified
	default:
		c.skipMessage("not expected of a " + c.kind.String())
	}
	return nil
}

// skipMessage notes a message that is passed over, with some of its text.
func (c *connection) skipMessage(why string) {
	const shown = 160
	text := c.body.Bytes()
	c.log.Warn("message_skipped", "remote", c.conn.RemoteAddr(), "kind", c.kind, "reason", why,
		"message", string(text[:min(len(text), shown)]))
}

// numberAt reads a figure; one that is missing, not a number, without end or below 0 is not usable.
func numberAt(m *fastjson.Value, key string) (float64, bool) {
	v := m.Get(key)
	if v == nil {
		return 0, false
	}
	x, err := v.Float64()
	if err != nil {
		return 0, false
	}
	return x, x >= 0 && settings.Sanitize(x) == x
}

// numberAtEither reads a figure that goes by one of two names; one that is not there is negative. One that is there and not
// usable, or above the most, spoils what it stands in.
func numberAtEither(m *fastjson.Value, name, other string, most float64, spoilt *bool) float64 {
	for _, key := range []string{name, other} {
		if x, ok := numberAt(m, key); ok && x <= most {
			return x
		} else if m.Exists(key) {
			*spoilt = true
		}
	}
	return -1
}

// indexAt reads a whole number below a bound.
func indexAt(m *fastjson.Value, key string, below int) (int, bool) {
	x, ok := numberAt(m, key)
	return int(x), ok && x < float64(below) && x == float64(int(x))
}

// spanAt reads the time that a report covers, in seconds; no time at all, or too long a one, is not usable.
func (c *connection) spanAt(m *fastjson.Value) (int64, float64, bool) {
	x, ok := numberAt(m, "interval")
	span := settings.Microseconds(x)
	return span, float64(span) / microsPerSecond, ok && span > 0 && span <= c.limits.maxReportInterval
}

// countAt reads a count of requests, of which so many can come in a second; parts of one do not exist.
func countAt(m *fastjson.Value, key string, perS, seconds float64) (int, bool) {
	return indexAt(m, key, int(perS*max(seconds, 1))+1)
}

// duplicateKey gives a key that stands in an object twice, or in an object within it.
func duplicateKey(v *fastjson.Value) (path string) {
	switch v.Type() {
	case fastjson.TypeArray:
		for _, item := range v.GetArray() {
			if path = duplicateKey(item); path != "" {
				return path
			}
		}
	case fastjson.TypeObject:
		seen := make(map[string]bool, v.GetObject().Len()) // a message may hold a hundred thousand keys
		v.GetObject().Visit(func(key []byte, item *fastjson.Value) {
			if path != "" {
				return
			}
			if name := string(key); seen[name] {
				path = name
			} else if inner := duplicateKey(item); inner != "" {
				path = name + "." + inner
			}
			seen[string(key)] = true
		})
	}
	return path
}

func (c *connection) zoneAt(m *fastjson.Value) (int, bool) {
	zone, ok := c.loop.zoneIndex[string(m.GetStringBytes("locality"))]
	return zone, ok
}

func (c *connection) collectorHello(m *fastjson.Value) error {
	zone, ok := c.zoneAt(m)
	switch {
	case c.kind != kindUnidentified:
		c.skipMessage("it has said who it is")
	case !ok:
		c.skipMessage("unknown zone")
		return errUnacceptable
	default:
		return c.identifyAs(kindCollector, -1, zone)
	}
	return nil
}

func (c *connection) proxyHello(m *fastjson.Value) error {
	if c.kind != kindUnidentified {
		c.skipMessage("it has said who it is") // ending a joined proxy's stream would not count as its leaving
		return nil
	}
	node, ok := indexAt(m, "node", c.limits.proxies)
	zone, there := c.zoneAt(m)
	if !ok || !there {
		c.skipMessage("unknown proxy or zone")
		return errUnacceptable
	}
	usual, ok := numberAt(m, "w")
	if !ok || usual > c.limits.maxProxyRate {
		usual = 0 // not known: it is served all the same
	}
	keeps := !m.GetBool("cold") // if nothing is said it may hold something
	c.wantsToken = m.GetBool("fence")
	if err := c.identifyAs(kindProxy, node, zone); err != nil {
		return err
	}
	c.loop.post(func() { c.loop.proxyConnected(c, usual, keeps) })
	return nil
}

func (c *connection) ack(m *fastjson.Value) {
	mark, ok := indexAt(m, "nonce", 1<<16)
	if node, same := indexAt(m, "node", c.limits.proxies); !ok || same && node != c.proxy {
		c.skipMessage("no usable mark")
		return
	}
	c.loop.post(func() { c.loop.acknowledged(c, mark) })
}

// outcomes is what the proxies of a zone met at a backend. A report is used whole or not at all. Fields that nobody
// reads are not looked at, but for those that show whether the others can be right: its zone and its time.
func (c *connection) outcomes(m *fastjson.Value) {
	span, seconds, timed := c.spanAt(m)
	id := string(m.GetStringBytes("endpoint"))
	tries, ok := countAt(m, "total", c.limits.maxFleetRate, seconds)
	failed, counted := countAt(m, "errors", c.limits.maxFleetRate, seconds)
	rtt, answered := numberAt(m, "rtt")
	mean := settings.Microseconds(rtt)
	said, spoilt := m.Get("metrics"), false
	if said != nil && said.Type() != fastjson.TypeObject {
		spoilt = true
	}
	load := balancer.BackendLoad{CPUUtilization: numberAtEither(said, "util", "cpu", c.limits.maxUtilization, &spoilt),
		QueueLength: numberAtEither(said, "queue", "waiting", c.limits.maxQueueLength, &spoilt),
		ServiceTime: 1000 * numberAtEither(said, "latency_ms", "avg_ms", float64(c.limits.maxResponseTime)/1000, &spoilt)}
	if _, there := c.zoneAt(m); !ok || !counted || !there || !timed || id == "" || spoilt || failed > tries ||
		failed < tries && (!answered || mean > c.limits.maxResponseTime) {
		c.skipMessage("outcomes without usable figures")
		return
	}
	c.loop.tryPost(func() { c.loop.outcomesReported(id, tries, failed, mean, span, load) })
}

// demand is what came to a proxy; it may come over the proxy's stream or any collector.
func (c *connection) demand(m *fastjson.Value) {
	node, ok := indexAt(m, "node", c.limits.proxies)
	class, there := c.loop.classIndex[string(m.GetStringBytes("route"))]
	span, seconds, timed := c.spanAt(m)
	count, counted := countAt(m, "total", c.limits.maxProxyRate, seconds)
	if !ok || !there || !counted || !timed || c.kind == kindProxy && node != c.proxy {
		c.skipMessage("demand without usable figures")
		return
	}
	c.loop.tryPost(func() { c.loop.demandReported(node, class, count, span) })
}
