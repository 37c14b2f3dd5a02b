package callerconn

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"
)

// TestAbortedResponseToHTTP10DoesNotLookComplete guards against responses with neither a length nor chunks that end in order although their
// handlers have aborted them.
func TestAbortedResponseToHTTP10DoesNotLookComplete(t *testing.T) {
	for name, abort := range map[string]bool{"aborted": true, "whole": false} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{})
			l := listenTCP(t)
			s := serve(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "id: 1\n\n")
				_ = http.NewResponseController(w).Flush()
				<-received
				if abort {
					panic(http.ErrAbortHandler)
				}
			})}, l)
			defer func() { _ = s.Close() }()
			caller := dialTCP(t, l)
			if _, err := io.WriteString(caller, "GET / HTTP/1.0\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			begin := make([]byte, 1)
			if _, err := io.ReadFull(caller, begin); err != nil {
				t.Fatal(err)
			}
			close(received)
			_, err := io.Copy(io.Discard, caller)
			if reset := errors.Is(err, syscall.ECONNRESET); reset != abort {
				t.Errorf("the connection ended with %v", err)
			}
		})
	}
}
