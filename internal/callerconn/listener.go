package callerconn

import (
	"context"
	"net"
	"sync"

	"github.com/fulmartide/fulmartide/internal/tcpconn"
)

// listener accepts tracked connections.
type listener struct {
	*tcpconn.DrainingListener
	server *Server
	// closed is closed once the listener accepts no more connections.
	closed    chan struct{}
	closeOnce sync.Once
}

func newListener(ln net.Listener, s *Server) *listener {
	return &listener{DrainingListener: tcpconn.NewDrainingListener(ln), server: s, closed: make(chan struct{})}
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.DrainingListener.Accept()
		if err != nil {
			l.closeOnce.Do(func() { close(l.closed) })
			return nil, err
		}
		if c := l.server.track(nc); c != nil {
			return c, nil
		}
		_ = nc.Close() // no request has been read
	}
}

// stop accepts the connections that are established and closes the listener, at the latest when ctx ends.
func (l *listener) stop(ctx context.Context) error {
	l.Drain()
	select {
	case <-l.closed:
		return nil
	case <-ctx.Done():
		return l.Close()
	}
}
