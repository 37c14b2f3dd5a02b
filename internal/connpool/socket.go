package connpool

import (
	"errors"
	"io"
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

// ackedBytes returns how many bytes the peer has acknowledged on a connection, 0 if that is unknown.
func ackedBytes(nc net.Conn) uint64 {
	info, err := tcpInfo(nc)
	if err != nil {
		return 0
	}
	return info.Bytes_acked
}

// closedBefore reports whether the peer had closed a connection before anything arrived that was sent since it had
// acknowledged ackedBefore bytes, where err is the failure of the next read. The peer's end of the stream has come then,
// nothing sent since has been acknowledged, and what was sent was answered with a reset. A peer that has only ended its
// own stream may still read; it sends no reset.
func closedBefore(nc net.Conn, err error, ackedBefore uint64) bool {
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	return ended && ackedBefore > 0 && ackedBytes(nc) == ackedBefore && awaitReset(nc) && ackedBytes(nc) == ackedBefore
}

// resetTimeout limits the wait for the reset that answers a request on a closed connection. It takes a round trip, as a
// connection attempt does.
const resetTimeout = DialTimeout

// awaitReset reports whether the peer of a connection whose stream has ended resets it.
func awaitReset(nc net.Conn) (reset bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd)}} // without events, errors and hang-ups are reported
		n, err := unix.Poll(fds, int(resetTimeout.Milliseconds()))
		reset = err == nil && n > 0
	})
	return err == nil && reset
}
