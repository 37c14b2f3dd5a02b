package callerconn

import "net/http"

// markAborted makes a response that is cut off recognizable to a caller that speaks HTTP/1.0: without chunks a response without a length ends
// with its connection, which is therefore reset.
func markAborted(r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil || r.ProtoAtLeast(1, 1) {
		return
	}
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails if the connection has ended, which the caller has seen then
	}
}
