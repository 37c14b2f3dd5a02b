package clients_test

import (
	"context"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// slowRequests is how many requests a client sends on one connection, and slowPiece what it reads of the answers every readPause.
	slowRequests = 200
	slowPiece    = 1 << 10
	// readPause is short enough that TCP_USER_TIMEOUT does not end the connection.
	readPause = 100 * time.Millisecond
)

func TestSlowReadersOfScrapesKeepOthersOutOfPlatformMetrics(t *testing.T) {
	withstandsSlowReaders(t, func() (read, ordinary target) {
		_, _, metrics := startPlatformForm(t)
		return metrics, metrics
	})
}

func TestSlowReadersOfScrapesKeepCallersOutOfPlatformForm(t *testing.T) {
	withstandsSlowReaders(t, func() (read, ordinary target) {
		callers, _, metrics := startPlatformForm(t)
		return metrics, callers
	})
}

func TestSlowReadersOfScrapesKeepCallersOutOfSettingsForm(t *testing.T) {
	withstandsSlowReaders(t, func() (read, ordinary target) {
		callers, operator := startSettingsForm(t, false)
		operator.path = "/metrics"
		return operator, callers
	})
}

// withstandsSlowReaders checks the process while a crowd reads answers of a target slowly.
func withstandsSlowReaders(t *testing.T, start func() (read, ordinary target)) {
	t.Helper()
	d, ordinary := start()
	before, err := ordinaryRequest(ordinary)
	if err != nil {
		t.Fatal(err)
	}
	raw := []byte(strings.Repeat("GET "+d.path+" HTTP/1.1\r\nHost: a\r\n\r\n", slowRequests))
	defer sendAll(idleCrowd, func(ctx context.Context, sent func()) {
		defer sent()
		for range dialsPerClient {
			readSlowly(ctx, d, raw, sent)
		}
	})()
	checkAfter(t, ordinary, before)
}

// readSlowly sends raw, calls sent once answers arrive, and reads them slowly until ctx ends or the process closes the connection.
func readSlowly(ctx context.Context, d target, raw []byte, sent func()) {
	c, err := (&net.Dialer{Control: smallReceiveBuffer}).DialContext(ctx, "tcp", d.address)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer func() { _ = c.Close() }()
	_ = c.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err = c.Write(raw); err != nil {
		return
	}
	piece := make([]byte, slowPiece)
	for {
		if _, err := c.Read(piece); err != nil {
			return
		}
		sent()
		select {
		case <-ctx.Done():
			return
		case <-time.After(readPause):
		}
	}
}

// smallReceiveBuffer makes answers that the client does not read fill its side of the connection soon.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	const receiveBytes = 4 << 10
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
	})
	if err != nil {
		return err
	}
	return failed
}
