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

// endpointWatcher follows discovery's list of endpoints: one watch after the other, without a pause while they succeed. What is
// known stays while calls fail, and when another address takes over. Its goroutine is run's; any other may call wake, follow and
// cancelCall.
type endpointWatcher struct {
	limits      *limits
	log         *slog.Logger
	onEndpoints func(full bool, version int64, servers []*fastjson.Value) // called with each answer that says something
	onAnswer    func()                                                    // called once discovery itself has given an answer of use
	wakeups     chan struct{}                                             // one wish to call at once; further ones are the same wish

	// Of run's goroutine, and of loadCached before it begins.
	client          *fasthttp.HostClient
	version         int64 // of the list that is known
	hasVersion      bool  // a list is known
	staleAnswers    int   // in a row, with an older version than ours
	unusableAnswers int   // in a row

	mutex             sync.Mutex // guards what follows
	address           string     // where the list is to be followed
	pendingRelocation *relocation
	conn              net.Conn // to discovery, for a call to be cancelled
	cancelDial        func()   // cancels the last dial
	stopped           bool     // no call is of interest any more
}

// relocation asks that the list be followed at another address, before the next call.
type relocation struct {
	address string
	cached  *fastjson.Value // a list that helps where none is known yet; nil for none
}

func newEndpointWatcher(address string, limits *limits, log *slog.Logger, onEndpoints func(bool, int64, []*fastjson.Value),
	onAnswer func()) *endpointWatcher {
	w := &endpointWatcher{limits: limits, log: log, onEndpoints: onEndpoints, onAnswer: sync.OnceFunc(onAnswer),
		wakeups: make(chan struct{}, 1), address: address, cancelDial: func() {}}
	w.client = w.newClient(address)
	return w
}

// newClient makes a client of one connection. Retries are run's to pace, and each call must come in time or be known to have failed.
func (w *endpointWatcher) newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  1,
		Dial:                      w.dial,
		ReadTimeout:               w.limits.watchWait + w.limits.watchMargin,
		WriteTimeout:              w.limits.dialTimeout,
		MaxResponseBodySize:       w.limits.maxResponseBody,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// loadCached takes in the list of a configuration where none is known yet.
func (w *endpointWatcher) loadCached(cached *fastjson.Value) {
	if cached == nil || w.hasVersion {
		return
	}
	if err := w.accept(cached); err != nil {
		w.log.Warn("cached_list_unusable", "error", err)
	}
}

// run follows the list until the context ends. Controller.Serve starts it and waits for its end.
func (w *endpointWatcher) run(ctx context.Context) {
	defer func() { w.client.CloseIdleConnections() }()
	defer context.AfterFunc(ctx, w.cancelCall)()
	backoff := w.limits.minBackoff
	for ctx.Err() == nil {
		w.relocate()
		version, began := w.version, time.Now()
		err := w.poll()
		endedAtOnce := w.version == version && time.Since(began) < w.limits.watchWait/2
		switch {
		case err == nil && endedAtOnce: // it ends watches at once, and would have us ask without a breath
			backoff = w.limits.minBackoff
		case err == nil || w.relocate():
			backoff = w.limits.minBackoff
			continue
		case ctx.Err() != nil:
			return
		default:
			w.log.Warn("discovery_failed", "error", err, "version", w.version)
		}
		w.pause(ctx, backoff)
		if err != nil {
			backoff = min(2*backoff, w.limits.maxBackoff)
		}
	}
}

// pause waits for half a backoff to all of it, by chance, unless it is woken.
func (w *endpointWatcher) pause(ctx context.Context, backoff time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.wakeups:
	case <-time.After(backoff/2 + rand.N(backoff/2+1)):
	}
}

// wake cuts a pause short.
func (w *endpointWatcher) wake() {
	select {
	case w.wakeups <- struct{}{}:
	default:
	}
}

// poll makes one call: a watch from the version that is known, or for the full list where none is known, or where watches have been
// of no use again and again.
func (w *endpointWatcher) poll() error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	uri := "http://" + w.client.Addr + discoveryPath
	incremental := w.hasVersion && w.unusableAnswers < w.limits.maxUnusableAnswers
	if incremental {
		uri += fmt.Sprintf("?%s=%d&%s=%d", paramSince, w.version, paramTimeout, w.limits.watchWait.Milliseconds())
	}
	request.SetRequestURI(uri)
	if err := w.client.DoTimeout(request, response, w.limits.watchWait+w.limits.watchMargin); err != nil {
		return fmt.Errorf("call: %w", err)
	}
	if w.addressChanged(w.client.Addr) {
		return errAddressChanged
	}
	w.unusableAnswers++ // until it proves to be of use
	answer, err := decodeAnswer(response)
	if err != nil {
		return err
	}
	if !incremental && !answer.GetBool(keyFullList) {
		return fmt.Errorf("%w: changes, where all was asked for", errMalformedList)
	}
	if err := w.accept(answer); err != nil {
		return err
	}
	w.onAnswer()
	return nil
}

// decodeAnswer reads an answer, which must be JSON without ambiguous keys.
func decodeAnswer(response *fasthttp.Response) (*fastjson.Value, error) {
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return nil, fmt.Errorf("status %d", code)
	}
	answer, err := fastjson.ParseBytes(response.Body())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedList, err)
	}
	if key := duplicateKey(answer); key != "" {
		return nil, fmt.Errorf("%w: %s stands there twice", errMalformedList, key)
	}
	return answer, nil
}

// accept takes in an answer unless it is older than what is known: that may come from a copy of discovery that lags. Where answers
// are older again and again, a full list is taken all the same.
func (w *endpointWatcher) accept(answer *fastjson.Value) error {
	version, ok := numberAt(answer, keyVersion)
	servers := answer.Get(keyEndpoints)
	if !ok || servers == nil || servers.Type() != fastjson.TypeArray {
		return errMalformedList
	}
	full := answer.GetBool(keyFullList)
	older := w.hasVersion && int64(version) < w.version
	if older && (w.staleAnswers < w.limits.maxUnusableAnswers || !full) {
		w.staleAnswers++
		return fmt.Errorf("version %.0f is older than %d", version, w.version)
	}
	if !w.hasVersion && !full {
		return fmt.Errorf("%w: changes to nothing", errMalformedList)
	}
	if endpoints := servers.GetArray(); full || len(endpoints) > 0 {
		w.onEndpoints(full, int64(version), endpoints)
	}
	w.version, w.hasVersion = int64(version), true
	w.staleAnswers, w.unusableAnswers = 0, 0
	return nil
}

// follow has the list be followed at an address from the next call on. A call that is under way elsewhere is cancelled.
func (w *endpointWatcher) follow(address string, cached *fastjson.Value) {
	w.mutex.Lock()
	w.pendingRelocation = &relocation{address, cached}
	if address != w.address {
		w.abortCall()
	}
	w.address = address
	w.mutex.Unlock()
	w.wake()
}

// relocate goes over to another address, if that is asked for, and tells whether it was. The next call goes on from the version that
// is known.
func (w *endpointWatcher) relocate() bool {
	w.mutex.Lock()
	next := w.pendingRelocation
	w.pendingRelocation = nil
	w.mutex.Unlock()
	if next == nil {
		return false
	}
	if next.address != w.client.Addr {
		w.client.CloseIdleConnections()
		w.client = w.newClient(next.address)
		w.staleAnswers, w.unusableAnswers = 0, 0
	}
	w.loadCached(next.cached)
	return true
}

// addressChanged tells whether what an address answers is of no interest any more.
func (w *endpointWatcher) addressChanged(from string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.address != from
}

// dial connects to discovery, in a way that follow and cancelCall can cancel.
func (w *endpointWatcher) dial(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), w.limits.dialTimeout)
	defer cancel()
	w.mutex.Lock()
	w.cancelDial = cancel
	obsolete := w.stopped || address != w.address
	w.mutex.Unlock()
	if obsolete {
		return nil, errAddressChanged
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.conn = conn
	if err == nil && (w.stopped || address != w.address) {
		err = errors.Join(errAddressChanged, conn.Close())
	}
	return conn, err
}

// cancelCall ends the call that is under way, at whatever step it is, and all that follow.
func (w *endpointWatcher) cancelCall() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.abortCall()
}

// abortCall ends the call that is under way. The mutex is held.
func (w *endpointWatcher) abortCall() {
	w.cancelDial()
	if w.conn != nil {
		_ = w.conn.Close() // the call fails, which is all that is wanted
	}
}
