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

// endpointWatcher follows discovery's endpoint list by consecutive watches, without a pause while
// they succeed. The known list is kept while calls fail and when the discovery address changes. The
// goroutine of run owns the watcher; other goroutines may call wake, setAddress and cancelCall.
type endpointWatcher struct {
	limits *limits
	log    *slog.Logger
	// onEndpoints is called with each accepted full list, and with accepted changes unless they are
	// empty.
	onEndpoints func(full bool, version int64, servers []*fastjson.Value)
	onAnswer    func()        // called once, at the first accepted answer of discovery
	wakeups     chan struct{} // buffers one request to skip the pause before the next call

	// Fields owned by the goroutine of run, and by loadCached before run begins.
	client          *fasthttp.HostClient
	version         int64 // version of the known endpoint list
	hasVersion      bool  // whether an endpoint list is known
	staleAnswers    int   // number of consecutive answers with an older version than the known list
	unusableAnswers int   // number of consecutive answers that were not accepted

	mutex             sync.Mutex // guards the fields below
	address           string     // address of discovery, which the next call uses
	pendingRelocation *relocation
	conn              net.Conn // connection to discovery; abortCall closes it to cancel the running call
	cancelDial        func()   // cancels the latest dial to discovery
	stopped           bool     // whether cancelCall was called, after which all calls fail
}

// relocation is a request to use another discovery address from the next call on.
type relocation struct {
	address string
	cached  *fastjson.Value // endpoint list of the configuration, used if no list is known yet; may be nil
}

func newEndpointWatcher(address string, limits *limits, log *slog.Logger, onEndpoints func(bool, int64, []*fastjson.Value),
	onAnswer func()) *endpointWatcher {
	w := &endpointWatcher{limits: limits, log: log, onEndpoints: onEndpoints, onAnswer: sync.OnceFunc(onAnswer),
		wakeups: make(chan struct{}, 1), address: address, cancelDial: func() {}}
	w.client = w.newClient(address)
	return w
}

// newClient returns a client with a single connection. It does not retry, as run controls the pace
// of retries, and its timeouts ensure that each call succeeds or fails in bounded time.
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

// loadCached accepts the endpoint list in a configuration if no list is known yet.
func (w *endpointWatcher) loadCached(cached *fastjson.Value) {
	if cached == nil || w.hasVersion {
		return
	}
	if err := w.accept(cached); err != nil {
		w.log.Warn("cached_list_unusable", "error", err)
	}
}

// run follows the endpoint list until the context ends. Controller.Serve starts it and waits for
// its end.
func (w *endpointWatcher) run(ctx context.Context) {
	defer func() { w.client.CloseIdleConnections() }()
	defer context.AfterFunc(ctx, w.cancelCall)()
	backoff := w.limits.minBackoff
	for ctx.Err() == nil {
		w.relocate()
		version, began := w.version, time.Now()
		err := w.poll()
		endedEarly := w.version == version && time.Since(began) < w.limits.watchWait/2
		switch {
		case err == nil && endedEarly:
			// Discovery has ended the watch early, without a change. Without a pause, calls would
			// follow each other in a tight loop.
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

// pause waits for a random time between half of the backoff and all of it. wake and the end of the
// context cut it short.
func (w *endpointWatcher) pause(ctx context.Context, backoff time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.wakeups:
	case <-time.After(backoff/2 + rand.N(backoff/2+1)):
	}
}

// wake cuts the current or the next pause short.
func (w *endpointWatcher) wake() {
	select {
	case w.wakeups <- struct{}{}:
	default:
	}
}

// poll makes one call: a watch that starts at the known version, or a request for the full list if
// no list is known or if limits.maxUnusableAnswers answers in a row were not accepted.
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
		return fmt.Errorf("request: %w", err)
	}
	if w.addressChanged(w.client.Addr) {
		return errAddressChanged
	}
	w.unusableAnswers++ // accept sets the counter back to 0 when it accepts the answer
	answer, err := decodeAnswer(response)
	if err != nil {
		return err
	}
	if !incremental && !answer.GetBool(keyFullList) {
		return fmt.Errorf("%w: got only changes, but the full list was requested", errMalformedList)
	}
	if err := w.accept(answer); err != nil {
		return err
	}
	w.onAnswer()
	return nil
}

// decodeAnswer parses a response, which must be JSON without duplicate keys.
func decodeAnswer(response *fasthttp.Response) (*fastjson.Value, error) {
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return nil, fmt.Errorf("unexpected HTTP status %d, want %d", code, fasthttp.StatusOK)
	}
	answer, err := fastjson.ParseBytes(response.Body())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedList, err)
	}
	if key := duplicateKey(answer); key != "" {
		return nil, fmt.Errorf("%w: duplicate key %s", errMalformedList, key)
	}
	return answer, nil
}

// accept applies an answer, and rejects one that is older than the known list, as it may come from
// a lagging replica of discovery. After limits.maxUnusableAnswers older answers in a row, it
// accepts a full list even if that is older.
func (w *endpointWatcher) accept(answer *fastjson.Value) error {
	version, ok := numberAt(answer, keyVersion)
	servers := answer.Get(keyEndpoints)
	if !ok || servers == nil || servers.Type() != fastjson.TypeArray {
		return fmt.Errorf("%w: %s or %s is missing or invalid", errMalformedList, keyVersion, keyEndpoints)
	}
	full := answer.GetBool(keyFullList)
	older := w.hasVersion && int64(version) < w.version
	if older && (w.staleAnswers < w.limits.maxUnusableAnswers || !full) {
		w.staleAnswers++
		return fmt.Errorf("list version %.0f is older than the known version %d", version, w.version)
	}
	if !w.hasVersion && !full {
		return fmt.Errorf("%w: got only changes, but no full list is known", errMalformedList)
	}
	if endpoints := servers.GetArray(); full || len(endpoints) > 0 {
		w.onEndpoints(full, int64(version), endpoints)
	}
	w.version, w.hasVersion = int64(version), true
	w.staleAnswers, w.unusableAnswers = 0, 0
	return nil
}

// setAddress changes the discovery address from the next call on. It cancels a running call to
// another address, and cuts a pause short. The cached list is used if no list is known yet.
func (w *endpointWatcher) setAddress(address string, cached *fastjson.Value) {
	w.mutex.Lock()
	w.pendingRelocation = &relocation{address, cached}
	if address != w.address {
		w.abortCall()
	}
	w.address = address
	w.mutex.Unlock()
	w.wake()
}

// relocate applies a pending relocation, and reports whether there was one. The next call continues
// from the known version.
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

// addressChanged reports whether the discovery address differs from the given one, so that an
// answer from the given address has to be ignored.
func (w *endpointWatcher) addressChanged(from string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.address != from
}

// dial connects to discovery. setAddress and cancelCall can cancel it.
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

// cancelCall cancels the running call in any of its steps, and makes all later calls fail.
func (w *endpointWatcher) cancelCall() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.abortCall()
}

// abortCall cancels the running call. The caller holds the mutex.
func (w *endpointWatcher) abortCall() {
	w.cancelDial()
	if w.conn != nil {
		_ = w.conn.Close() // an error of Close is ignored, as the call fails in any case
	}
}
