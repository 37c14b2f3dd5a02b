package clients_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"
)

// operatorBody is the size of bodies that operators may send, 4 MiB.
const operatorBody = 4 << 20

// Guards against commands of operators whose bodies do not end, which all are held.
func TestBodiesWithoutEndEndOperatorListener(t *testing.T) {
	callers, operator := startSettingsForm(t, false)
	before, err := ordinaryRequest(callers)
	if err != nil {
		t.Fatal(err)
	}
	raw := fmt.Appendf(nil, "POST /operator/command/config/apply HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", operatorBody)
	raw = append(raw, bytes.Repeat([]byte(" "), operatorBody-1)...)
	leave := sendAll(crowd, func(ctx context.Context, sent func()) {
		defer sent()
		nc, err := operator.dial()
		if err != nil {
			return // refusing is allowed
		}
		defer func() { _ = nc.Close() }()
		_ = nc.SetWriteDeadline(time.Now().Add(peerWriteTime))
		_, _ = nc.Write(raw) // closing the connection is allowed
		sent()
		<-ctx.Done()
	})
	checkAfter(t, callers, before)
	checkAfter(t, operator, 200)
	leave()
	checkAfter(t, callers, before)
}
