package callerconn

import (
	"fmt"
	"io"
	"net/http"
	"runtime/debug"

	"go.uber.org/zap"
)

// panicAnswer is the body of the answer to a request whose handler has panicked.
const panicAnswer = "internal: the handler of the request failed\nrun: unknown\nremedy: report this with the log line of the VM\n"

// beginWriter notes that a response has begun.
type beginWriter struct {
	http.ResponseWriter
	began bool
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *beginWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *beginWriter) WriteHeader(status int) {
	w.began = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *beginWriter) Write(p []byte) (int, error) {
	w.began = true
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *beginWriter) Flush() {
	w.began = true
	_ = http.NewResponseController(w.ResponseWriter).Flush() // fails if the caller has gone
}

// FlushError sends what was written; http.ResponseController prefers it to Flush.
func (w *beginWriter) FlushError() error {
	w.began = true
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// recoverPanic recovers a panic of a handler, logs and counts it, and answers the request; net/http would close its connection
// without an answer. It is to be deferred. A response that has begun is cut off.
func (s *Server) recoverPanic(w *beginWriter, r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		markAborted(r)
		panic(cause)
	}
	s.panics.Inc()
	s.opts.Log.Error("call panicked", zap.String("request", s.opts.RequestID(r.Header)), zap.Bool("started", w.began),
		zap.String("panic", fmt.Sprint(cause)), zap.ByteString("stack", debug.Stack()))
	if w.began {
		markAborted(r)
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	clear(h)
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(http.StatusBadGateway)
	_, _ = io.WriteString(w, panicAnswer)
}
