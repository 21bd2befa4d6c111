package consensus

import (
	"crypto/tls"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the state of a TCP connection of which neither side has been closed (TCP_ESTABLISHED
// of the Linux kernel).
const tcpEstablished = 1

// hasLeft reports whether the caller has closed its side of a connection, even if calls that it sent
// before are still unread. It returns false if that cannot be known.
func hasLeft(conn net.Conn) bool {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	if tracked, ok := conn.(trackedConn); ok {
		conn = tracked.Conn
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	// An error of Control means that this process has closed the connection.
	_ = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		left = err == nil && info.State != tcpEstablished
	})
	return left
}
