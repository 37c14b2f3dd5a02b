// Package sockets sets TCP connections up so that the kernel ends those whose peer fell silent.
package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout ends a connection whose peer acknowledges nothing.
	unackedTimeout = 2 * time.Second
	// An unused connection is probed after keepAliveIdle, and ended when keepAliveCount probes
	// in a row go unanswered.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount}

// Dialer gives the settings of outgoing connections; connect bounds the time of opening one.
func Dialer(connect time.Duration) net.Dialer {
	return net.Dialer{Timeout: connect, Control: setUnackedTimeout, KeepAliveConfig: keepAlive}
}

// Listener gives the settings of a listener and of the connections that it takes.
func Listener() net.ListenConfig {
	return net.ListenConfig{Control: setUnackedTimeout, KeepAliveConfig: keepAlive}
}

func setUnackedTimeout(_, _ string, rc syscall.RawConn) error {
	var failed error
	err := rc.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
