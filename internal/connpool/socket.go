package connpool

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Readable reports whether a byte, EOF or an error is pending on the connection, without consuming
// it.
func Readable(nc net.Conn) (pending bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = err != unix.EAGAIN
	})
	return pending || err != nil
}

var errNoSocket = errors.New("the connection has no socket")

// tcpInfo returns what the kernel knows about a connection.
func tcpInfo(nc net.Conn) (info *unix.TCPInfo, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(controlErr, err)
}
