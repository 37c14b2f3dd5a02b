package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// drainWriter makes responses that begin during a shutdown end their connections, so that callers send their next call to
// another VM.
type drainWriter struct {
	http.ResponseWriter
	stopping func() bool
	began    bool
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *drainWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *drainWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

func (w *drainWriter) begin() {
	if !w.began && w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.began = true
}

// expired is a read deadline that makes a read in progress fail.
var expired = time.Unix(1, 0)

// readBody reads the body of the request. It fails when ctx ends, so that a shutdown can answer calls whose body is late.
func (c *call) readBody(ctx context.Context) ([]byte, error) {
	stop := context.AfterFunc(ctx, func() {
		_ = http.NewResponseController(c.w).SetReadDeadline(expired) // fails if the connection has ended
	})
	defer stop()
	raw, err := readBody(c.r, c.server.opts.Limits.BodyBytes)
	if err != nil {
		return nil, contextErrorOr(ctx, err, fault.NotExecuted)
	}
	c.bodyRead = true
	return raw, nil
}
