package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/fulmartide/fulmartide/internal/connpool"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Opener opens streams to other VMs.
type Opener interface {
	OpenStream(ctx context.Context, addr netip.AddrPort, kind peer.Kind) (net.Conn, error)
}

var _ Opener = (*peer.Transport)(nil)

// Client sends requests through other VMs.
type Client struct{ Opener Opener }

// Response is the response of an endpoint, received through another VM. The body must be closed; that cancels what is
// left of the request.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length int64
	// Delimited is set if the endpoint marked the end of the body, or the other VM has checked it.
	Delimited bool
	// Lifetime is that of the endpoint to which the connection of the other VM leads, 0 if it is not known.
	Lifetime int64
	Body     io.ReadCloser
}

// Do sends a request to an endpoint through a VM and returns the response once its header has arrived. Errors are of
// type *connpool.Error.
func (c *Client) Do(ctx context.Context, via *traffic.Via, endpoint traffic.EndpointID, r *connpool.Request) (*Response, error) {
	nc, err := c.Opener.OpenStream(ctx, via.Address, peer.KindForward)
	if err != nil {
		return nil, failure(via, "open a stream", false, err)
	}
	if r.LastLook != nil {
		if err := r.LastLook(ctx); err != nil {
			_ = nc.Close()
			return nil, &connpool.Error{Err: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	in := bufio.NewReader(nc)
	sentAt := time.Now()
	out, err := exchange(nc, in, via, endpoint, r)
	if err == nil {
		body := &responseBody{Reader: &bodyReader{r: in}, nc: nc, stop: stop}
		if r.CheckEnd != nil && !out.Delimited { // the other VM, of a former build, has not checked it
			end := connpool.End{SentAt: sentAt, Status: out.Status, Header: out.Header}
			body.Reader = connpool.NewEndCheckedReader(ctx, body.Reader, end, r.CheckEnd)
		}
		return &Response{Status: out.Status, Header: out.Header, Length: out.Length, Delimited: out.Delimited, Lifetime: out.Lifetime, Body: body}, nil
	}
	stop()
	_ = nc.Close()
	if cause := context.Cause(ctx); cause != nil {
		err = &connpool.Error{Sent: connpool.MayHaveSent(err), Err: cause}
	}
	return nil, err
}

// exchange sends a request and reads its outcome.
func exchange(w io.Writer, in io.Reader, via *traffic.Via, endpoint traffic.EndpointID, r *connpool.Request) (*outcome, error) {
	h := requestHeader{
		ID: r.ID, Endpoint: endpoint, Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header,
		Permit: via.Permit, HasBody: r.Body != nil, BodyBytes: len(r.Body),
	}
	if err := writeMessage(w, &h); err != nil {
		return nil, failure(via, "write the request", false, err) // the other VM sends nothing before it has the whole request
	}
	if n, err := w.Write(r.Body); n < len(r.Body) {
		return nil, failure(via, "write the request", false, err)
	}
	var out outcome
	if err := readMessage(in, &out); err != nil {
		return nil, failure(via, "await the outcome", true, err)
	}
	if err := out.failure(); err != nil {
		return nil, failure(via, "outcome", out.Sent, err)
	}
	return &out, nil
}

// failure returns the error of a request that failed in a step; sent is set if it may have been sent to the endpoint.
func failure(via *traffic.Via, step string, sent bool, err error) error {
	return &connpool.Error{Sent: sent, Err: fmt.Errorf("through %s: %s: %w", via.VM, step, err)}
}

// responseBody closes the stream with the body.
type responseBody struct {
	io.Reader
	nc   net.Conn
	stop func() bool
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.stop()
	return b.nc.Close()
}
