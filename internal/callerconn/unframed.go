package callerconn

import "net/http"

// defaultLinger is the setting of net.TCPConn.SetLinger with which a connection ends in order.
const defaultLinger = -1

// resetUnlessWhole makes the connection of a request end with a reset if this process closes it, or ends, before done is called. The body of
// a response to HTTP/1.0 without a length ends with its connection, and one that is cut off would look complete if that ended in order.
func (c *conn) resetUnlessWhole(r *http.Request) (done func()) {
	tcp, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok || r.ProtoAtLeast(1, 1) || tcp.SetLinger(0) != nil {
		return func() {}
	}
	return func() { _ = tcp.SetLinger(defaultLinger) } // fails if the connection has been closed
}
