package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"
)

// list follows what discovery says of the backends: one watch after the other, without a pause while they succeed.
// What was known stays while calls fail.
type list struct {
	client  *fasthttp.HostClient
	limits  *limits
	log     *journal
	take    func(whole bool, version int64, servers []*fastjson.Value)
	version int64
	some    bool // a version is known
	older   int  // answers in a row that were older than that
}

func newList(address string, l *limits, log *journal, take func(bool, int64, []*fastjson.Value)) *list {
	return &list{limits: l, log: log, take: take, client: &fasthttp.HostClient{
		Addr:     address,
		MaxConns: 2, // a call that was given up may still hold one
		Dial: func(address string) (net.Conn, error) {
			return net.DialTimeout("tcp", address, l.dial)
		},
		ReadTimeout:         l.watch + l.watchOver,
		WriteTimeout:        l.dial,
		MaxResponseBodySize: l.body,
		// Further tries are ours to pace, and each call must come in time or be known to have failed.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// run follows the list until the context ends.
func (l *list) run(ctx context.Context) {
	defer l.client.CloseIdleConnections()
	pause := l.limits.retryLeast
	for ctx.Err() == nil {
		err := l.call(ctx)
		if err == nil {
			pause = l.limits.retryLeast
			continue
		}
		if ctx.Err() != nil {
			return
		}
		l.log.seldom("discovery", "event=discovery_failed error=%q version=%d", err, l.version)
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause/2+1)):
		}
		pause = min(2*pause, l.limits.retryMost)
	}
}

// call makes one call, and is given up when the context ends.
func (l *list) call(ctx context.Context) error {
	answered := make(chan error, 1)
	go func() { answered <- l.watch() }()
	select {
	case err := <-answered:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

var errBroken = errors.New("not a list")

func (l *list) watch() error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	uri := "http://" + l.client.Addr + "/api/targets"
	if l.some && l.older < l.limits.older {
		uri += fmt.Sprintf("?since=%d&timeout_ms=%d", l.version, l.limits.watch.Milliseconds())
	}
	request.SetRequestURI(uri)
	if err := l.client.DoTimeout(request, response, l.limits.watch+l.limits.watchOver); err != nil {
		return fmt.Errorf("call: %w", err)
	}
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return fmt.Errorf("status %d", code)
	}
	answer, err := fastjson.ParseBytes(response.Body())
	if err != nil {
		return fmt.Errorf("%w: %w", errBroken, err)
	}
	return l.answer(answer)
}

// answer takes in an answer unless it is older than what is known: that may come from a copy of discovery that lags.
// When it says so again and again we ask for the whole list and take that.
func (l *list) answer(a *fastjson.Value) error {
	version, ok := figureAt(a, "version")
	servers := a.Get("servers")
	if !ok || servers == nil || servers.Type() != fastjson.TypeArray {
		return errBroken
	}
	whole := a.GetBool("full")
	if l.some && int64(version) < l.version && (l.older < l.limits.older || !whole) {
		l.older++
		return fmt.Errorf("version %.0f is older than %d", version, l.version)
	}
	if !l.some && !whole {
		return fmt.Errorf("%w: changes to nothing", errBroken)
	}
	if whole || len(servers.GetArray()) > 0 {
		l.take(whole, int64(version), servers.GetArray())
	}
	l.version, l.some, l.older = int64(version), true, 0
	return nil
}
