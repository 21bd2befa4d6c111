package controller

import (
	"github.com/valyala/fastjson"

	"wheelrill/balancer"
	"wheelrill/internal/settings"
)

// take acts on a message by its kind and by whom it comes from.
func (p *peer) take(m *fastjson.Value) error {
	if key := duplicateKey(m); key != "" { // which of the two counts is anybody's guess
		if p.skip("a key stands there twice"); p.kind == unidentified {
			return errRefused
		}
		return nil
	}
	switch word := string(m.GetStringBytes("msg")); {
	case word == "probe":
		if err := p.send(alive); err != nil && p.kind == unidentified {
			return err
		}
	case word == "hello":
		return p.hello(m)
	case word == "agent":
		return p.agent(m)
	case word == "ack" && p.kind == proxy:
		p.ack(m)
	case word == "outcomes" && p.kind == collector:
		p.outcomes(m)
	case word == "demand" && p.kind != unidentified:
		p.demand(m)
	case p.kind == unidentified:
		p.skip("not expected of a stranger")
		return errEarly
	default:
		p.skip("not expected of a " + p.kind.String())
	}
	return nil
}

// skip notes a message that is passed over, with some of its text.
func (p *peer) skip(why string) {
	const shown = 160
	text := p.body.Bytes()
	p.log.seldom("skipped "+why, "skipped", "peer", p.conn.RemoteAddr(), "kind", p.kind, "why", why,
		"message", string(text[:min(len(text), shown)]))
}

// figureAt reads a figure; one that is missing, not a number, without end or below 0 is not usable.
func figureAt(m *fastjson.Value, key string) (float64, bool) {
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

// eitherAt reads a figure that goes by one of two names; one that is not there is negative. One that is there and not
// usable, or above the most, spoils what it stands in.
func eitherAt(m *fastjson.Value, name, other string, most float64, spoilt *bool) float64 {
	for _, key := range []string{name, other} {
		if x, ok := figureAt(m, key); ok && x <= most {
			return x
		} else if m.Exists(key) {
			*spoilt = true
		}
	}
	return -1
}

// indexAt reads a whole number below a bound.
func indexAt(m *fastjson.Value, key string, below int) (int, bool) {
	x, ok := figureAt(m, key)
	return int(x), ok && x < float64(below) && x == float64(int(x))
}

// spanAt reads the time that a report covers, in seconds; no time at all, or too long a one, is not usable.
func (p *peer) spanAt(m *fastjson.Value) (int64, float64, bool) {
	x, ok := figureAt(m, "interval")
	span := settings.Microseconds(x)
	return span, float64(span) / second, ok && span > 0 && span <= p.limits.span
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

func (p *peer) zoneAt(m *fastjson.Value) (int, bool) {
	zone, ok := p.module.zones[string(m.GetStringBytes("locality"))]
	return zone, ok
}

func (p *peer) agent(m *fastjson.Value) error {
	zone, ok := p.zoneAt(m)
	switch {
	case p.kind != unidentified:
		p.skip("it has said who it is")
	case !ok:
		p.skip("unknown zone")
		return errRefused
	default:
		return p.becomes(collector, -1, zone)
	}
	return nil
}

func (p *peer) hello(m *fastjson.Value) error {
	if p.kind != unidentified {
		p.skip("it has said who it is") // ending a joined proxy's stream would not count as its leaving
		return nil
	}
	node, ok := indexAt(m, "node", p.limits.nodes)
	zone, there := p.zoneAt(m)
	if !ok || !there {
		p.skip("unknown proxy or zone")
		return errRefused
	}
	usual, ok := figureAt(m, "w")
	if !ok || usual > p.limits.proxyRate {
		usual = 0 // not known: it is served all the same
	}
	keeps := !m.GetBool("cold") // if nothing is said it may hold something
	p.fenced = m.GetBool("fence")
	if err := p.becomes(proxy, node, zone); err != nil {
		return err
	}
	p.module.post(func() { p.module.joined(p, usual, keeps) })
	return nil
}

func (p *peer) ack(m *fastjson.Value) {
	mark, ok := indexAt(m, "nonce", 1<<16)
	if node, same := indexAt(m, "node", p.limits.nodes); !ok || same && node != p.node {
		p.skip("no usable mark")
		return
	}
	p.module.post(func() { p.module.applied(p, mark) })
}

// outcomes is what the proxies of a zone met at a backend. A report is used whole or not at all. Fields that nobody
// reads are not looked at, but for those that show whether the others can be right: its zone and its time.
func (p *peer) outcomes(m *fastjson.Value) {
	span, seconds, timed := p.spanAt(m)
	id := string(m.GetStringBytes("endpoint"))
	tries, ok := countAt(m, "total", p.limits.fleetRate, seconds)
	failed, counted := countAt(m, "errors", p.limits.fleetRate, seconds)
	rtt, answered := figureAt(m, "rtt")
	mean := settings.Microseconds(rtt)
	said, spoilt := m.Get("metrics"), false
	if said != nil && said.Type() != fastjson.TypeObject {
		spoilt = true
	}
	load := balancer.BackendLoad{CPUUtilization: eitherAt(said, "util", "cpu", p.limits.busy, &spoilt),
		QueueLength: eitherAt(said, "queue", "waiting", p.limits.queue, &spoilt),
		ServiceTime: 1000 * eitherAt(said, "latency_ms", "avg_ms", float64(p.limits.answer)/1000, &spoilt)}
	if _, there := p.zoneAt(m); !ok || !counted || !there || !timed || id == "" || spoilt || failed > tries ||
		failed < tries && (!answered || mean > p.limits.answer) {
		p.skip("outcomes without usable figures")
		return
	}
	p.module.report(func() { p.module.addOutcomes(id, tries, failed, mean, span, load) })
}

// demand is what came to a proxy; it may come over the proxy's stream or any collector.
func (p *peer) demand(m *fastjson.Value) {
	node, ok := indexAt(m, "node", p.limits.nodes)
	class, there := p.module.classes[string(m.GetStringBytes("route"))]
	span, seconds, timed := p.spanAt(m)
	count, counted := countAt(m, "total", p.limits.proxyRate, seconds)
	if !ok || !there || !counted || !timed || p.kind == proxy && node != p.node {
		p.skip("demand without usable figures")
		return
	}
	p.module.report(func() { p.module.addDemand(node, class, count, span) })
}
