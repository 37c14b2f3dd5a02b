package connpool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fulmartide/fulmartide/internal/tcpconn"
)

// Conn is a connection on which a request is about to be sent.
type Conn struct {
	c *conn
	// kept is set if the connection has carried requests before.
	kept bool
	// asked is set once a question was sent on the connection, broken once that cannot carry the request any more.
	asked, broken bool
}

// Opened returns when the connection was open.
func (o *Conn) Opened() time.Time { return o.c.opened }

// Kept reports whether the connection has carried requests before.
func (o *Conn) Kept() bool { return o.kept }

// ErrAnother is returned by Await if the request is to be sent on a new connection instead of a kept one.
var ErrAnother = fmt.Errorf("%w: another one is to carry it", errNotSent)

var errAnswerTooLarge = errors.New("the endpoint's answer exceeds the maximum size")

// Answer is the answer to a question.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Ask sends another request on the connection first and returns its answer, whose body has at most maxBody bytes. The connection cannot
// be used any more if it fails, or if the endpoint does not keep it open.
func (o *Conn) Ask(ctx context.Context, r *Request, maxBody int64) (Answer, error) {
	o.asked, o.broken = true, true
	lastID := o.c.lastID
	if tcpconn.Readable(o.c.nc) {
		return Answer{}, errNotSent // the endpoint has closed it meanwhile
	}
	resp, err := o.c.roundTrip(ctx, r)
	if err != nil {
		return Answer{}, err
	}
	body, err := io.ReadAll(io.LimitReader(resp, maxBody+1))
	kept := resp.reusable()
	switch {
	case err != nil:
		return Answer{}, err
	case int64(len(body)) > maxBody:
		return Answer{}, errAnswerTooLarge
	}
	if kept {
		o.broken = false
		o.c.checkedAt = time.Now()
		o.c.idleUntil = o.c.checkedAt.Add(resp.idleTimeout)
		o.c.lastID = lastID // a late copy of its response may still follow
	}
	if resp.Status == http.StatusOK {
		o.c.questions++
	}
	return Answer{Status: resp.Status, Header: resp.Header, Body: body}, nil
}

// UnnamedLifetime is that of an endpoint which has answered a question without naming its lifetime.
const UnnamedLifetime = -1

// SetLifetime records to which lifetime of the endpoint the connection leads.
func (o *Conn) SetLifetime(lifetime int64) { o.c.lifetime = lifetime }

// accepted reports whether a request need not wait for its acceptance on the connection.
func (c *conn) accepted(r *Request) bool {
	return r.Await == nil || c.lifetime > 0 && (r.AnyLifetime || c.lifetime == r.Lifetime)
}

// send sends a request once it is accepted. A kept connection on which it is not accepted is kept for others.
func (c *conn) send(ctx context.Context, r *Request) (*Response, error) {
	if c.accepted(r) {
		return c.roundTrip(ctx, r)
	}
	on := &Conn{c: c, kept: c.requests > 0}
	err := r.Await(ctx, on)
	switch {
	case err != nil:
		c.release(on.broken)
		if errors.Is(err, errNotSent) {
			return nil, errNotSent
		}
		return nil, &Error{Err: err}
	case on.broken:
		c.close()
		return nil, errSpent
	case tcpconn.Readable(c.nc) && on.asked:
		c.close()
		return nil, errSpent // the endpoint has closed it after its answer
	case tcpconn.Readable(c.nc):
		c.close()
		return nil, errNotSent // the endpoint has closed it meanwhile
	}
	return c.roundTrip(ctx, r)
}

// release returns a connection that did not carry its request to the pool, unless it is new or broken.
func (c *conn) release(broken bool) {
	if broken || !time.Now().Before(c.idleUntil) {
		c.close()
		return
	}
	c.pool.put(c)
}
