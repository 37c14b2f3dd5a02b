package callerconn

import (
	"io"
	"net/http"
	"time"
)

const (
	// discardTime is how long the rest of a refused request's body may take. It is enough for a caller that is sending.
	discardTime = 2 * time.Second
	// maxDiscardedBytes is the most that is read of it.
	maxDiscardedBytes = 64 << 20
)

// DiscardBody sends the response that was written to w and reads the rest of the request's body. A connection that is closed before its
// request has been read is reset, which callers that are still sending see instead of the response. If the body does not come
// in time, the connection is closed.
func DiscardBody(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.Flush() // fails if the caller has gone, as the read does then
	// If the writer supports no deadlines, the timeouts of net/http apply.
	_ = control.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardedBytes))
}
