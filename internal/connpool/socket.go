package connpool

import (
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
