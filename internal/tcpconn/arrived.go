package tcpconn

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// ReadArrived reads what has arrived on a connection without waiting, whatever its read deadline. It returns 0 and no error if
// nothing has, or if the connection has no socket.
func ReadArrived(nc net.Conn, p []byte) (n int, err error) {
	raw, err := rawConn(nc)
	if raw == nil || err != nil {
		return 0, err
	}
	var recvErr error
	err = raw.Control(func(fd uintptr) { n, _, recvErr = unix.Recvfrom(int(fd), p, unix.MSG_DONTWAIT) })
	switch {
	case err != nil:
		return 0, err
	case errors.Is(recvErr, unix.EAGAIN) || errors.Is(recvErr, unix.EINTR):
		return 0, nil
	case recvErr != nil:
		return 0, os.NewSyscallError("recvfrom", recvErr)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// ReadArrivedOrEnd is ReadArrived, but ends both directions of the connection if nothing has arrived, and then returns io.EOF. The
// scheduler cannot run another goroutine between the look and the end, so that no request arrives in the meantime.
// A connection without a socket is not ended.
func ReadArrivedOrEnd(nc net.Conn, p []byte) (n int, err error) {
	raw, err := rawConn(nc)
	if raw == nil || err != nil || len(p) == 0 {
		return 0, err
	}
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) { n, errno = recvOrShutdown(fd, p) })
	switch {
	case err != nil:
		return 0, err
	case errno != 0:
		return 0, os.NewSyscallError("recvfrom", errno)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// recvOrShutdown reads what has arrived on a socket, or shuts it down if nothing has. Raw system calls keep the processor: after others
// a goroutine may wait for one, on a busy VM for tens of milliseconds.
func recvOrShutdown(fd uintptr, p []byte) (int, syscall.Errno) {
	for {
		n, _, errno := unix.RawSyscall6(unix.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&p[0])), uintptr(len(p)), unix.MSG_DONTWAIT, 0, 0)
		switch errno {
		case 0:
			return int(n), 0
		case unix.EINTR:
			continue
		case unix.EAGAIN:
			_, _, _ = unix.RawSyscall(unix.SYS_SHUTDOWN, fd, unix.SHUT_RDWR, 0) // fails if the peer has reset the connection
			return 0, 0
		}
		return 0, errno
	}
}

// Readable reports whether a byte, EOF or an error is pending on the connection, or below TLS on it, without consuming it.
func Readable(nc net.Conn) (pending bool) {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	raw, err := rawConn(nc)
	if raw == nil || err != nil {
		return err != nil
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = !errors.Is(err, unix.EAGAIN)
	})
	return pending || err != nil
}

// Ended reports whether the peer has ended its direction of the connection, or the connection has failed, and no data that arrived
// before is left to be read. It reports false if the connection has no socket of its own.
func Ended(nc net.Conn) (ended bool) {
	raw, err := rawConn(nc)
	if raw == nil || err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = n <= 0 && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	})
	return ended || err != nil
}

// SinceReceived returns the time since data last arrived on the connection, whether it was read or not, to the millisecond. It
// returns 0 if the connection has no socket of its own.
func SinceReceived(nc net.Conn) time.Duration {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	raw, err := rawConn(nc)
	if raw == nil || err != nil {
		return 0
	}
	since := time.Duration(0)
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}

// rawConn returns the socket of a connection, nil if it has none.
func rawConn(nc net.Conn) (syscall.RawConn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	return sc.SyscallConn()
}

// LateReader is a connection whose Read returns what has arrived although its deadline has passed, as in a process that was
// paused.
type LateReader struct{ net.Conn }

// Read implements net.Conn.
func (c LateReader) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if n, arrivedErr := ReadArrived(c.Conn, p); n > 0 || arrivedErr != nil {
		return n, arrivedErr
	}
	return 0, err
}

// SyscallConn implements syscall.Conn.
func (c LateReader) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return sc.SyscallConn()
}

var errNoSocket = errors.New("the connection has no socket")
