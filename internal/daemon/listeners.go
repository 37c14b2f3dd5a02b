package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/settings"
	"github.com/fulmartide/fulmartide/internal/sockets"
	"github.com/fulmartide/fulmartide/internal/tlsfile"
)

// listeners are the daemon's three sockets.
type listeners struct{ callers, peers, operator net.Listener }

func openListeners(s settings.Settings) (listeners, error) {
	var out listeners
	for _, one := range []struct {
		key, addr string
		into      *net.Listener
	}{
		{"listen.callers", s.Listen.Callers, &out.callers},
		{"listen.peers", s.Listen.Peers, &out.peers},
		{"listen.operator", s.Listen.Operator, &out.operator},
	} {
		lc := sockets.Listener()
		ln, err := lc.Listen(context.Background(), "tcp", one.addr)
		if err != nil {
			return out, fault.Wrap(err, fault.Unavailable, "choose a free address of this VM for "+one.key, "listen on "+one.addr)
		}
		*one.into = ln
	}
	return out, nil
}

const (
	// headerTimeout bounds the reading of a call's headers.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the reading of a whole call.
	bodyTimeout = 30 * time.Second
	// headerSlack is how many times the limit net/http reads, so that the relay can refuse
	// headers over the limit with its own answer.
	headerSlack = 4
	// idleTimeout closes callers' unused connections.
	idleTimeout = 2 * time.Minute
)

func (d *daemon) callerServer() (*http.Server, error) {
	cfg, err := tlsfile.Server(d.settings.TLS.CallersCert, d.settings.TLS.CallersKey)
	if err != nil {
		return nil, err
	}
	return &http.Server{
		Handler:           d.relay,
		TLSConfig:         cfg,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerSlack * d.settings.Limits.HeaderBytes,
	}, nil
}

func serveCallers(s *http.Server, ln net.Listener) {
	var err error
	if s.TLSConfig != nil {
		err = s.ServeTLS(ln, "", "")
	} else {
		err = s.Serve(ln)
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		panic(err)
	}
}

func countText(n int) string {
	if n == 1 {
		return "1 request was"
	}
	return strconv.Itoa(n) + " requests were"
}
