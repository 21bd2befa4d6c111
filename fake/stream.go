package fake

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	dialTimeout      = 300 * time.Millisecond
	probeInterval    = time.Second
	idleTimeout      = 3 * time.Second        // a stream is closed if no message arrives for this long
	applyTimePerLine = 100 * time.Microsecond // time that a proxy takes to apply one line of a push
	connectWindow    = time.Second            // lines applied within this time of a stream's start count as LinesAtConnect
	minRedialDelay   = 20                     // minimum delay before the next dial, in ms
	redialJitter     = 130                    // upper bound of the random part of the delay before the next dial, in ms
	ackLatency       = 1                      // latency that every acknowledgement reports, in ms
)

// run keeps the proxy connected to one of the controllers until the context ends. When a stream
// ends or cannot be opened, it waits for a random delay and dials the next controller in an order
// that is random for each proxy.
func (p *Proxy) run(ctx context.Context) {
	order := p.random.Perm(len(p.fleet.links))
	for attempt := 0; ctx.Err() == nil; attempt++ {
		controller := order[attempt%len(order)]
		conn, err := net.DialTimeout("tcp", p.fleet.links[controller].Address(), dialTimeout)
		if err == nil {
			p.serveStream(ctx, conn, controller)
		}
		wait := time.Duration(minRedialDelay+p.random.IntN(redialJitter)) * time.Millisecond
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// serveStream exchanges messages with one controller until the connection or the context ends.
func (p *Proxy) serveStream(ctx context.Context, conn net.Conn, controller int) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	if _, err := conn.Write(frame(p.hello())); err != nil {
		return
	}
	began := time.Now()
	if _, err := conn.Write(frame(probe{msgProbe})); err != nil {
		return
	}
	var reporting sync.WaitGroup
	reportingCtx, stopReporting := context.WithCancel(ctx)
	reporting.Go(func() { p.reportDemand(reportingCtx, conn) })
	defer reporting.Wait()
	defer stopReporting()
	defer conn.Close()
	p.readPushes(ctx, conn, controller, began)
}

func (p *Proxy) hello() hello {
	rate := 0.
	for _, class := range p.fleet.classes {
		rate += class.Rate
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return hello{Msg: msgHello, Proxy: p.number, Zone: p.zone, Rate: rate, Cold: p.cold, Fence: p.fenced}
}

// readPushes applies and acknowledges pushes until a message cannot be read or is invalid. The
// proxy counts as connected from the first message of the controller on, which shows that the
// controller is running.
func (p *Proxy) readPushes(ctx context.Context, conn net.Conn, controller int, began time.Time) {
	reader := bufio.NewReader(conn)
	connected := false
	defer func() {
		if connected {
			p.setDisconnected()
		}
	}()
	var pending push
	for {
		if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}
		body, err := readFrame(reader)
		if err != nil {
			return
		}
		if !connected {
			connected = true
			p.setConnected(controller)
		}
		var part pushPart
		if err := json.Unmarshal(body, &part); err != nil {
			return
		}
		switch part.Msg {
		case msgAlive:
			continue
		case msgPush:
			pending.add(part)
		default:
			return
		}
		if part.More {
			continue
		}
		p.awaitDelivery(ctx, controller, pending.lines)
		connecting := time.Since(began) < connectWindow
		if err := p.apply(pending, controller, connecting); err != nil {
			return
		}
		p.acknowledge(conn, pending)
		pending = push{}
	}
}

// awaitDelivery waits for the time that a push takes to pass the controller's push channel and to
// be applied.
func (p *Proxy) awaitDelivery(ctx context.Context, controller, lines int) {
	wait := p.fleet.pushChannels[controller].enqueue(p.number, lines+MessageOverhead) +
		time.Duration(lines)*applyTimePerLine
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// acknowledge sends an acknowledgement for each part with a nonce. It ignores write errors, because
// the next read then fails too.
func (p *Proxy) acknowledge(conn net.Conn, handled push) {
	for _, part := range handled.parts {
		if part.Nonce != nil {
			_, _ = conn.Write(frame(ack{Msg: msgAck, Proxy: p.number, Nonce: *part.Nonce, Latency: ackLatency}))
		}
	}
}

// reportDemand sends a probe and the demand of each class at each probe interval, until the context
// ends or a write fails. It closes the connection after a failed write.
func (p *Proxy) reportDemand(ctx context.Context, conn net.Conn) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.mutex.Lock()
		demand := slices.Clone(p.demand)
		clear(p.demand)
		p.mutex.Unlock()
		out := frame(probe{msgProbe})
		for i, n := range demand {
			report := demandReport{Msg: msgDemand, Proxy: p.number, Class: p.fleet.classes[i].Name, Total: n,
				Interval: float64(probeInterval.Milliseconds())}
			out = append(out, frame(report)...)
		}
		if err := writeWithTimeout(conn, out, probeInterval); err != nil {
			conn.Close()
			return
		}
	}
}

// writeWithTimeout writes all bytes, or returns an error after the timeout.
func writeWithTimeout(conn net.Conn, out []byte, timeout time.Duration) error {
	if err := conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := conn.Write(out)
	return err
}
