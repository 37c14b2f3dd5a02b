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
	// headerLimitFactor makes net/http accept headers of several times the configured limit, so that
	// the relay can reject headers over the limit with its own error response.
	headerLimitFactor = 4
	// maxIdleTime is the time after which idle connections of callers are closed.
	maxIdleTime = 2 * time.Minute
)

func (d *daemon) callerServer() (*callerconn.Server, error) {
	cfg, err := tlsfile.ServerConfig(d.settings.TLS.CallersCert, d.settings.TLS.CallersKey)
	if err != nil {
		return nil, err
	}
	log := d.log.Named("callers")
	return callerconn.New(&http.Server{
		Handler:           d.relay,
		TLSConfig:         cfg,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		MaxHeaderBytes:    headerLimitFactor * d.settings.Limits.HeaderBytes,
		ErrorLog:          zap.NewStdLog(log),
	}, callerconn.Options{MaxIdleTime: maxIdleTime, Log: log, Metrics: d.relay.Metrics()}), nil
}

func serveCallers(s *callerconn.Server, ln net.Listener) {
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
