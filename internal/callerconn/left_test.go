package callerconn

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// TestCallerThatLeftIsSeenBeforeItsEndIsRead guards against requests that are sent for callers who have left, by a process that was paused
// and has not read yet that their connections have ended.
func TestCallerThatLeftIsSeenBeforeItsEndIsRead(t *testing.T) {
	tcp := listenTCP(t)
	contexts, done := make(chan context.Context), make(chan struct{})
	s := serveWith(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		contexts <- r.Context()
		<-done
	})}, tcp, Options{})
	defer func() { _ = s.Close() }()
	defer close(done)
	caller := dialTCP(t, tcp)
	send(t, caller)
	ctx := <-contexts
	if CallerLeft(ctx) {
		t.Error("a caller that waits counts as gone")
	}
	send(t, caller) // the next request, which is read later
	if CallerLeft(ctx) {
		t.Error("a caller that has sent another request counts as gone")
	}
	if CallerLeft(t.Context()) {
		t.Error("a call without a connection counts as abandoned")
	}
	other := dialTCP(t, tcp)
	send(t, other)
	ctx = <-contexts
	_ = other.Close()
	for deadline := time.Now().Add(10 * time.Second); !CallerLeft(ctx); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a caller that has closed its connection does not count as gone")
		}
	}
}
