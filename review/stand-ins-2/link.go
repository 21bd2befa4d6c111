package main

import (
	"net"
	"sync"
	"time"
)

// link is the way from one member to another: it passes bytes on, and none while it is cut. Nothing is said
// then: open connections stay open and silent, and new ones get no answer.
type link struct {
	address, target string

	mutex sync.Mutex
	heals chan struct{} // closed when the cut ends; nil while the link is not cut
	deaf  bool          // what the target answers is lost
}

func newLink(target string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("link: %v", err)
	}
	k := &link{address: listener.Addr().String(), target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go k.serve(conn)
		}
	}()
	return k
}

func (k *link) serve(from net.Conn) {
	k.await()
	to, err := net.DialTimeout("tcp", k.target, 300*time.Millisecond)
	if err != nil {
		from.(*net.TCPConn).SetLinger(0)
		from.Close()
		return
	}
	go k.pass(from, to, false)
	k.pass(to, from, true)
}

func (k *link) pass(from, to net.Conn, answers bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		k.await()
		if n > 0 && !(answers && k.loses()) {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			from.Close()
			to.Close()
			return
		}
	}
}

// lose begins or ends the loss of answers.
func (k *link) lose(deaf bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.deaf = deaf
}

func (k *link) loses() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.deaf
}

// await waits until the link is not cut.
func (k *link) await() {
	k.mutex.Lock()
	heals := k.heals
	k.mutex.Unlock()
	if heals != nil {
		<-heals
	}
}

func (k *link) cut(cut bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	switch {
	case cut && k.heals == nil:
		k.heals = make(chan struct{})
	case !cut && k.heals != nil:
		close(k.heals)
		k.heals = nil
	}
}
