package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"
)

// endpointWatcher follows what discovery says of the backends: one watch after the other, without a pause while they succeed.
// What was known stays while calls fail, and when another address takes over.
type endpointWatcher struct {
	client         *fasthttp.HostClient
	wakeups        chan struct{} // the mailbox: a wish to be told at once
	limits         *limits
	log            *slog.Logger
	onEndpoints    func(whole bool, version int64, servers []*fastjson.Value)
	onAnswer       func() // called once discovery itself has given an answer of use
	version        int64
	hasVersion     bool
	staleAnswers   int // in a row, with a version older than ours
	uselessAnswers int // in a row

	mutex         sync.Mutex
	address       string      // where it is to be followed
	relocationDue *relocation // to be made before the next call
	conn          net.Conn    // to discovery, for a call to be given up
	cancelDial    func()      // of the last dial
	stopped       bool
}

// relocation asks that the list be followed at another address. What is known may help one who knows nothing yet.
type relocation struct {
	address string
	cached  *fastjson.Value
}

func newEndpointWatcher(address string, l *limits, log *slog.Logger, take func(bool, int64, []*fastjson.Value), heard func()) *endpointWatcher {
	f := &endpointWatcher{limits: l, log: log, onEndpoints: take, onAnswer: sync.OnceFunc(heard), wakeups: make(chan struct{}, 1), address: address,
		cancelDial: func() {}}
	f.client = f.newClient(address)
	return f
}

func (w *endpointWatcher) newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                address,
		MaxConns:            1,
		Dial:                w.dial,
		ReadTimeout:         w.limits.watchWait + w.limits.watchMargin,
		WriteTimeout:        w.limits.dialTimeout,
		MaxResponseBodySize: w.limits.maxResponseBody,
		// Further tries are ours to pace, and each call must come in time or be known to have failed.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// loadCached takes in what a configuration knew of the list.
func (w *endpointWatcher) loadCached(known *fastjson.Value) {
	if known == nil || w.hasVersion {
		return
	}
	if err := w.accept(known); err != nil {
		w.log.Warn("cached_list_unusable", "error", err)
	}
}

func (w *endpointWatcher) dial(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), w.limits.dialTimeout)
	defer cancel()
	w.mutex.Lock()
	w.cancelDial = cancel
	past := w.stopped || address != w.address
	w.mutex.Unlock()
	if past {
		return nil, errMoved
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.conn = conn; err == nil && (w.stopped || address != w.address) {
		conn.Close()
	}
	return conn, err
}

// cancelCall ends the call that is under way, at whatever step it is.
func (w *endpointWatcher) cancelCall() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.abortCall()
}

func (w *endpointWatcher) abortCall() {
	if w.cancelDial(); w.conn != nil {
		w.conn.Close()
	}
}

// hasMoved tells whether what was asked of an address is of no interest any more.
func (w *endpointWatcher) hasMoved(from string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.address != from
}

// follow has the list go on at an address. A call that is under way elsewhere is given up.
func (w *endpointWatcher) follow(address string, known *fastjson.Value) {
	w.mutex.Lock()
	if w.relocationDue = (&relocation{address, known}); address != w.address {
		w.abortCall()
	}
	w.address = address
	w.mutex.Unlock()
	w.wake()
}

// relocate follows the list at another address, if that is asked for. The next call goes on from the version that is
// known.
func (w *endpointWatcher) relocate() bool {
	w.mutex.Lock()
	next := w.relocationDue
	w.relocationDue = nil
	w.mutex.Unlock()
	if next == nil {
		return false
	}
	if next.address != w.client.Addr {
		w.client.CloseIdleConnections()
		w.client, w.staleAnswers, w.uselessAnswers = w.newClient(next.address), 0, 0
	}
	w.loadCached(next.cached)
	return true
}

// wake cuts a pause short.
func (w *endpointWatcher) wake() {
	select {
	case w.wakeups <- struct{}{}:
	default:
	}
}

// run follows the list until the context ends.
func (w *endpointWatcher) run(ctx context.Context) {
	defer func() { w.client.CloseIdleConnections() }()
	defer context.AfterFunc(ctx, w.cancelCall)()
	pause := w.limits.minBackoff
	for ctx.Err() == nil {
		w.relocate()
		version, began := w.version, time.Now()
		err := w.poll()
		switch {
		case err == nil && w.version == version && time.Since(began) < w.limits.watchWait/2:
			pause = w.limits.minBackoff // it ends watches at once, and would have us ask without a breath
		case err == nil || w.relocate():
			pause = w.limits.minBackoff
			continue
		case ctx.Err() != nil:
			return
		default:
			w.log.Warn("discovery_failed", "error", err, "version", w.version)
		}
		select {
		case <-ctx.Done():
		case <-w.wakeups:
		case <-time.After(pause/2 + rand.N(pause/2+1)):
		}
		if err != nil {
			pause = min(2*pause, w.limits.maxBackoff)
		}
	}
}

var (
	errMalformedList = errors.New("not a list")
	errMoved         = errors.New("it is followed elsewhere by now")
)

func (w *endpointWatcher) poll() error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	uri, incremental := "http://"+w.client.Addr+"/api/targets", w.hasVersion && w.uselessAnswers < w.limits.maxUselessAnswers
	if incremental {
		uri += fmt.Sprintf("?since=%d&timeout_ms=%d", w.version, w.limits.watchWait.Milliseconds())
	}
	request.SetRequestURI(uri)
	if err := w.client.DoTimeout(request, response, w.limits.watchWait+w.limits.watchMargin); err != nil {
		return fmt.Errorf("call: %w", err)
	}
	if w.hasMoved(w.client.Addr) {
		return errMoved
	}
	// An answer counts as useless until it proves to be of use. A discovery that will not go on from our version may still
	// say all it knows.
	w.uselessAnswers++
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return fmt.Errorf("status %d", code)
	}
	answer, err := fastjson.ParseBytes(response.Body())
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformedList, err)
	}
	if key := duplicateKey(answer); key != "" {
		return fmt.Errorf("%w: %s stands there twice", errMalformedList, key)
	}
	if !incremental && !answer.GetBool("full") {
		return fmt.Errorf("%w: changes, where all was asked for", errMalformedList)
	}
	if err := w.accept(answer); err != nil {
		return err
	}
	w.onAnswer()
	return nil
}

// accept takes in an answer unless it is older than what is known: that may come from a copy of discovery that lags.
// When it says so again and again we ask for the whole list and take that.
func (w *endpointWatcher) accept(a *fastjson.Value) error {
	version, ok := numberAt(a, "version")
	servers := a.Get("servers")
	if !ok || servers == nil || servers.Type() != fastjson.TypeArray {
		return errMalformedList
	}
	whole := a.GetBool("full")
	if w.hasVersion && int64(version) < w.version && (w.staleAnswers < w.limits.maxUselessAnswers || !whole) {
		w.staleAnswers++
		return fmt.Errorf("version %.0f is older than %d", version, w.version)
	}
	if !w.hasVersion && !whole {
		return fmt.Errorf("%w: changes to nothing", errMalformedList)
	}
	if whole || len(servers.GetArray()) > 0 {
		w.onEndpoints(whole, int64(version), servers.GetArray())
	}
	w.version, w.hasVersion, w.staleAnswers, w.uselessAnswers = int64(version), true, 0, 0
	return nil
}
