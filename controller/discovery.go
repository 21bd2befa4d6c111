package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"
)

// list follows what discovery says of the backends: one watch after the other, without a pause while they succeed.
// What was known stays while calls fail, and when another address takes over.
type list struct {
	client         *fasthttp.HostClient
	asked          chan struct{} // the mailbox: a wish to be told at once
	limits         *limits
	log            *journal
	take           func(whole bool, version int64, servers []*fastjson.Value)
	heard          func() // called once discovery itself has given an answer of use
	version        int64
	hasVersion     bool
	staleAnswers   int // in a row, with a version older than ours
	uselessAnswers int // in a row

	mutex   sync.Mutex
	address string      // where it is to be followed
	pending *relocation // to be made before the next call
	conn    net.Conn    // to discovery, for a call to be given up
	giveUp  func()      // of the last dial
	ended   bool
}

// relocation asks that the list be followed at another address. What is known may help one who knows nothing yet.
type relocation struct {
	address string
	known   *fastjson.Value
}

func newList(address string, l *limits, log *journal, take func(bool, int64, []*fastjson.Value), heard func()) *list {
	f := &list{limits: l, log: log, take: take, heard: sync.OnceFunc(heard), asked: make(chan struct{}, 1), address: address,
		giveUp: func() {}}
	f.client = f.newClient(address)
	return f
}

func (l *list) newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                address,
		MaxConns:            1,
		Dial:                l.dial,
		ReadTimeout:         l.limits.watch + l.limits.watchOver,
		WriteTimeout:        l.limits.dial,
		MaxResponseBodySize: l.limits.body,
		// Further tries are ours to pace, and each call must come in time or be known to have failed.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// start takes in what a configuration knew of the list.
func (l *list) start(known *fastjson.Value) {
	if known == nil || l.hasVersion {
		return
	}
	if err := l.answer(known); err != nil {
		l.log.say("known_unusable", "error", err)
	}
}

func (l *list) dial(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), l.limits.dial)
	defer cancel()
	l.mutex.Lock()
	l.giveUp = cancel
	past := l.ended || address != l.address
	l.mutex.Unlock()
	if past {
		return nil, errMoved
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.conn = conn; err == nil && (l.ended || address != l.address) {
		conn.Close()
	}
	return conn, err
}

// cancelCall ends the call that is under way, at whatever step it is.
func (l *list) cancelCall() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ended = true
	l.abortCall()
}

func (l *list) abortCall() {
	if l.giveUp(); l.conn != nil {
		l.conn.Close()
	}
}

// hasMoved tells whether what was asked of an address is of no interest any more.
func (l *list) hasMoved(from string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.address != from
}

// follow has the list go on at an address. A call that is under way elsewhere is given up.
func (l *list) follow(address string, known *fastjson.Value) {
	l.mutex.Lock()
	if l.pending = (&relocation{address, known}); address != l.address {
		l.abortCall()
	}
	l.address = address
	l.mutex.Unlock()
	l.wake()
}

// relocate follows the list at another address, if that is asked for. The next call goes on from the version that is
// known.
func (l *list) relocate() bool {
	l.mutex.Lock()
	next := l.pending
	l.pending = nil
	l.mutex.Unlock()
	if next == nil {
		return false
	}
	if next.address != l.client.Addr {
		l.client.CloseIdleConnections()
		l.client, l.staleAnswers, l.uselessAnswers = l.newClient(next.address), 0, 0
	}
	l.start(next.known)
	return true
}

// wake cuts a pause short.
func (l *list) wake() {
	select {
	case l.asked <- struct{}{}:
	default:
	}
}

// run follows the list until the context ends.
func (l *list) run(ctx context.Context) {
	defer func() { l.client.CloseIdleConnections() }()
	defer context.AfterFunc(ctx, l.cancelCall)()
	pause := l.limits.retryLeast
	for ctx.Err() == nil {
		l.relocate()
		version, began := l.version, time.Now()
		err := l.watch()
		switch {
		case err == nil && l.version == version && time.Since(began) < l.limits.watch/2:
			pause = l.limits.retryLeast // it ends watches at once, and would have us ask without a breath
		case err == nil || l.relocate():
			pause = l.limits.retryLeast
			continue
		case ctx.Err() != nil:
			return
		default:
			l.log.seldom("discovery", "discovery_failed", "error", err, "version", l.version)
		}
		select {
		case <-ctx.Done():
		case <-l.asked:
		case <-time.After(pause/2 + rand.N(pause/2+1)):
		}
		if err != nil {
			pause = min(2*pause, l.limits.retryMost)
		}
	}
}

var (
	errBroken = errors.New("not a list")
	errMoved  = errors.New("it is followed elsewhere by now")
)

func (l *list) watch() error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	uri, incremental := "http://"+l.client.Addr+"/api/targets", l.hasVersion && l.uselessAnswers < l.limits.uselessMost
	if incremental {
		uri += fmt.Sprintf("?since=%d&timeout_ms=%d", l.version, l.limits.watch.Milliseconds())
	}
	request.SetRequestURI(uri)
	if err := l.client.DoTimeout(request, response, l.limits.watch+l.limits.watchOver); err != nil {
		return fmt.Errorf("call: %w", err)
	}
	if l.hasMoved(l.client.Addr) {
		return errMoved
	}
	// An answer counts as useless until it proves to be of use. A discovery that will not go on from our version may still
	// say all it knows.
	l.uselessAnswers++
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return fmt.Errorf("status %d", code)
	}
	answer, err := fastjson.ParseBytes(response.Body())
	if err != nil {
		return fmt.Errorf("%w: %w", errBroken, err)
	}
	if key := duplicateKey(answer); key != "" {
		return fmt.Errorf("%w: %s stands there twice", errBroken, key)
	}
	if !incremental && !answer.GetBool("full") {
		return fmt.Errorf("%w: changes, where all was asked for", errBroken)
	}
	if err := l.answer(answer); err != nil {
		return err
	}
	l.heard()
	return nil
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
	if l.hasVersion && int64(version) < l.version && (l.staleAnswers < l.limits.uselessMost || !whole) {
		l.staleAnswers++
		return fmt.Errorf("version %.0f is older than %d", version, l.version)
	}
	if !l.hasVersion && !whole {
		return fmt.Errorf("%w: changes to nothing", errBroken)
	}
	if whole || len(servers.GetArray()) > 0 {
		l.take(whole, int64(version), servers.GetArray())
	}
	l.version, l.hasVersion, l.staleAnswers, l.uselessAnswers = int64(version), true, 0, 0
	return nil
}
