// Package tcpconn configures TCP connections so that the kernel closes those whose peer is unreachable.
package tcpconn

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// ackTimeout is how long sent data may remain unacknowledged before the connection is closed
	// (TCP_USER_TIMEOUT). Linux also gives up keep-alive probes by it instead of by their count: an idle
	// connection is closed once nothing has come for that long and a probe is unanswered. It must exceed the
	// time for which a sound endpoint may fall silent.
	ackTimeout = 2 * time.Second
	// An idle connection is probed after keepAliveIdle and then every keepAliveInterval. Where ackTimeout does
	// not apply, it is closed after keepAliveCount consecutive probes without a reply.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dialer returns a dialer for outgoing connections; timeout limits connection establishment.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{Timeout: timeout, Control: setAckTimeout, KeepAliveConfig: keepAlive}
}

// Listener returns the configuration of a listener and of the connections that it accepts.
func Listener() net.ListenConfig {
	return net.ListenConfig{Control: setAckTimeout, KeepAliveConfig: keepAlive}
}

func setAckTimeout(_, _ string, rc syscall.RawConn) error {
	var optErr error
	err := rc.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}
