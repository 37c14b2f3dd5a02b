package endpoint

import (
	"net"
	"testing"
	"time"
)

// TestConnectionOfNewRequestIsNotClosedAsInactive guards against requests that are cut off because their connection was
// idle before them, when another connection to the engine stops responding.
func TestConnectionOfNewRequestIsNotClosedAsInactive(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	addr, conns := ln.Addr().String(), newConnTracker()
	dial := func() *trackedConn {
		nc, err := conns.dial(t.Context(), "tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		return nc.(*trackedConn)
	}
	inUse, idle := dial(), dial()
	defer inUse.Close()
	for _, c := range []*trackedConn{inUse, idle} {
		c.lastActive.Store(time.Now().Add(-time.Hour).UnixNano())
	}
	if _, err := inUse.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	conns.closeInactive(addr, time.Minute)
	if _, err := inUse.Write([]byte("rest")); err != nil {
		t.Errorf("the connection of a request was closed: %v", err)
	}
	if _, err := idle.Write([]byte("x")); err == nil {
		t.Error("the idle connection was not closed")
	}
}

// TestConnectionWithArrivedResponseIsNotClosedAsInactive guards against responses that are lost because the process had not read them
// yet when another connection to the engine stops responding.
func TestConnectionWithArrivedResponseIsNotClosedAsInactive(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	addr, conns := ln.Addr().String(), newConnTracker()
	nc, err := conns.dial(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	engine, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer engine.Close()
	nc.(*trackedConn).lastActive.Store(time.Now().Add(-time.Hour).UnixNano())
	if _, err := engine.Write([]byte("response")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	conns.closeInactive(addr, time.Minute)
	if _, err := nc.Read(make([]byte, 8)); err != nil {
		t.Errorf("a response that had arrived was lost: %v", err)
	}
}
