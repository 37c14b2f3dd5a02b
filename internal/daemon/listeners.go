package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/callerconn"
	"github.com/fulmartide/fulmartide/internal/connbudget"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/settings"
	"github.com/fulmartide/fulmartide/internal/tcpconn"
	"github.com/fulmartide/fulmartide/internal/tlsfile"
)

// listeners contains the daemon's listening sockets.
type listeners struct{ callers, peers, operator net.Listener }

func openListeners(s settings.Settings) (listeners, error) {
	var out listeners
	for _, socket := range []struct {
		key, addr string
		into      *net.Listener
	}{
		{"listen.callers", s.Listen.Callers, &out.callers},
		{"listen.peers", s.Listen.Peers, &out.peers},
		{"listen.operator", s.Listen.Operator, &out.operator},
	} {
		lc := tcpconn.Listener()
		ln, err := lc.Listen(context.Background(), "tcp", socket.addr)
		if err != nil {
			return out, fault.Wrap(err, fault.Unavailable, "choose a free address of this VM for "+socket.key, "listen on "+socket.addr)
		}
		*socket.into = ln
	}
	return out, nil
}

const (
	// headerTimeout is the timeout for reading the headers of a request.
	headerTimeout = 5 * time.Second
	// readTimeout is the timeout for reading an entire request.
	readTimeout = 30 * time.Second
	// headerRoom makes net/http accept heads that are larger than the configured limit, which is one of headers alone, so that
	// the relay can reject them with its own error response.
	headerRoom = 16 << 10
	// operatorHeaderBytes bounds the headers of requests of operators, scrapes and checks.
	operatorHeaderBytes = 16 << 10
	// connectionMemoryFraction is the part of the memory limit that connections and the heads of requests may take, as its inverse.
	connectionMemoryFraction = 5
	// maxIdleTime is the time after which idle connections of callers are closed.
	maxIdleTime = 2 * time.Minute
)

func (d *daemon) callerServer() (*callerconn.Server, error) {
	cfg, err := tlsfile.ServerConfig(d.settings.TLS.CallersCert, d.settings.TLS.CallersKey)
	if err != nil {
		return nil, err
	}
	log := d.log.Named("callers")
	headLimit := d.settings.Limits.HeaderBytes + headerRoom
	return callerconn.New(&http.Server{
		Handler:           d.relay,
		TLSConfig:         cfg,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		MaxHeaderBytes:    headLimit,
		HTTP2:             callerconn.HTTP2(),
		ErrorLog:          zap.NewStdLog(log),
	}, callerconn.Options{
		HeadLimit: func() int64 { return int64(headLimit) }, MaxIdleTime: maxIdleTime, Budget: d.connections, Name: "callers", Log: log, Metrics: d.relay.Metrics(),
	}), nil
}

func (d *daemon) newConnectionBudget() *connbudget.Budget {
	return connbudget.New(connbudget.Options{
		Bytes: d.settings.Limits.MemoryMiB << 20 / connectionMemoryFraction, Connections: connbudget.Connections(0),
		Log: d.log.Named("connections"), Metrics: d.relay.Metrics(),
	})
}

func serve(s *callerconn.Server, ln net.Listener) {
	if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		panic(err)
	}
}

// requestCountText returns n with the noun in the singular or plural.
func requestCountText(n int) string {
	if n == 1 {
		return "1 request"
	}
	return strconv.Itoa(n) + " requests"
}
