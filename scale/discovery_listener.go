package scale

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// watchedAddress serves discovery at an address of its own, and calls a function at each connection
// to this address.
type watchedAddress struct {
	net.Listener
	change    atomic.Int64       // number of the last change that moved the controller to this address
	connected func(change int64) // called at each connection with the number in the field change
	server    *http.Server
	running   sync.WaitGroup
}

// watchAddress starts to serve discovery at a free loopback address.
func watchAddress(discovery http.Handler, connected func(change int64)) (*watchedAddress, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &watchedAddress{Listener: listener, connected: connected, server: &http.Server{Handler: discovery}}
	w.running.Go(func() { _ = w.server.Serve(w) }) // Serve returns an error even after a regular Close
	return w, nil
}

// Accept accepts a connection, and reports the change that moved the controller to this address.
func (w *watchedAddress) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	if err == nil {
		w.connected(w.change.Load())
	}
	return conn, err
}

func (w *watchedAddress) address() string { return w.Listener.Addr().String() }

// close stops the server, and closes all its connections.
func (w *watchedAddress) close() {
	_ = w.server.Close() // the server closes its listener even if Close returns an error
	w.running.Wait()
}
