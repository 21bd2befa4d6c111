package scale

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// watchedAddress serves discovery at an address of its own, and tells when a controller connects there.
type watchedAddress struct {
	net.Listener
	change    atomic.Int64 // the change that moves the controller here
	connected func(change int64)
	server    *http.Server
	running   sync.WaitGroup
}

// watchAddress begins to serve.
func watchAddress(discovery http.Handler, connected func(change int64)) (*watchedAddress, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &watchedAddress{Listener: listener, connected: connected, server: &http.Server{Handler: discovery}}
	w.running.Go(func() { _ = w.server.Serve(w) }) // its error is that it was closed
	return w, nil
}

// Accept takes a connection in, and notes by which change it came.
func (w *watchedAddress) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	if err == nil {
		w.connected(w.change.Load())
	}
	return conn, err
}

func (w *watchedAddress) address() string { return w.Listener.Addr().String() }

// close ends it with all its connections.
func (w *watchedAddress) close() {
	_ = w.server.Close() // the listener is closed, whatever it says
	w.running.Wait()
}
