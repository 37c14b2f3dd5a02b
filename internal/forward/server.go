package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/bodybuffer"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/connpool"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/tcpconn"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// maxConcurrent is the maximum number of requests of other VMs that a VM sends at a time. Further ones are refused,
	// so that a data centre without a path does not take others down.
	maxConcurrent = 128
	// callersFraction is the part of the memory for bodies that is kept from requests of other VMs, as its inverse, so that callers are
	// served while strangers send such requests.
	callersFraction = 4
	// requestTimeout is the maximum time in which a request must arrive.
	requestTimeout = 2 * time.Second
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Start checks right before a send whether this VM may send a request to an endpoint now, and returns its entry.
	// permit is set if the other VM has used a permit of the endpoint's rate limit for it.
	Start func(id traffic.EndpointID, permit bool) (traffic.Endpoint, error)
	// LastLook returns why a request must not be sent to an endpoint after all, or nil. It is called right before the first byte
	// is written. It may be nil.
	LastLook func(id traffic.EndpointID) error
	// Send sends a request over a connection of this VM.
	Send func(context.Context, traffic.Endpoint, *connpool.Request) (*connpool.Response, error)
	// Bodies is the memory for the bodies of requests, of which headers take as well.
	Bodies  *bodybuffer.Budget
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Server sends requests of other VMs to endpoints.
type Server struct {
	opts  ServerOptions
	slots chan struct{}
	// withdrawn is set once no room is offered, stopping once no further requests are taken.
	withdrawn, stopping atomic.Bool
}

// NewServer returns a Server and registers it with the transport.
func NewServer(t *peer.Transport, o ServerOptions) *Server {
	limit := o.Bodies.Limit()
	o.Bodies = o.Bodies.Part(limit-limit/callersFraction, o.Metrics, "forwarded")
	s := &Server{opts: o, slots: make(chan struct{}, maxConcurrent)}
	t.HandleStream(peer.KindForward, s.serve)
	return s
}

// Room returns the number of further requests that the server offers to take now.
func (s *Server) Room() int {
	if s.withdrawn.Load() || s.stopping.Load() {
		return 0
	}
	return maxConcurrent - len(s.slots)
}

// Withdraw ends the offer of room. Requests of VMs that have chosen this one before are taken until Shutdown is called.
func (s *Server) Withdraw() { s.withdrawn.Store(true) }

// Shutdown refuses further requests and waits until those in progress have ended, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	s.stopping.Store(true)
	for len(s.slots) > 0 && clock.Sleep(ctx, shutdownCheckPeriod) {
		continue
	}
}

// shutdownCheckPeriod is the time between two checks whether requests are in progress.
const shutdownCheckPeriod = 20 * time.Millisecond

var (
	errNoRoom   = fault.New(fault.Overloaded, "send the request through another VM", "the VM sends too many requests of others already")
	errStopping = fault.New(fault.Stopping, "send the request through another VM", "the VM is being stopped")
	errGone     = fault.New(fault.Cancelled, "keep the stream open until the outcome", "the other VM has given the request up")
)

// takeSlot takes one of the slots, unless none is free or no further requests are taken.
func (s *Server) takeSlot() error {
	select {
	case s.slots <- struct{}{}:
	default:
		return errNoRoom
	}
	if s.stopping.Load() { // Shutdown may have counted the slots before this one was taken
		s.freeSlot()
		return errStopping
	}
	return nil
}

func (s *Server) freeSlot() { <-s.slots }

// serve handles one request.
func (s *Server) serve(ctx context.Context, from ident.VM, nc net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.takeSlot(); err != nil {
		s.opts.Metrics.GetOrCreateCounter(`fulmartide_refused_for_other_vms_total{reason="` + string(fault.KindOf(err)) + `"}`).Inc()
		s.opts.Log.Info("request of another vm refused", zap.Stringer("vm", from), zap.Int("in_progress", len(s.slots)), zap.Error(err))
		s.refuse(nc, from, err)
		return
	}
	defer s.freeSlot()
	body := s.opts.Bodies.NewBody()
	defer body.Release()
	in := bufio.NewReader(nc)
	h, held, arrivedAt, err := s.readRequest(nc, in, body)
	defer func() { s.opts.Bodies.Return(held) }()
	if err != nil {
		s.log(from, h, nil, fmt.Errorf("read the request: %w", err))
		body.Release()
		s.refuse(nc, from, err)
		return
	}
	if tcpconn.Readable(nc) { // the other VM may have given up while this one was not running
		s.log(from, h, nil, errGone)
		return
	}
	go func() { // the other VM sends nothing more; it closes the stream when its caller leaves
		_, _ = in.ReadByte()
		cancel()
	}()
	resp, err := s.send(ctx, nc, h, body, arrivedAt)
	s.log(from, h, resp, err)
	if err != nil {
		s.reply(nc, from, failedOutcome(err))
		return
	}
	defer func() { _ = resp.Close() }()
	// The end of a body that was checked is marked by endOfBody or brokenBody, also for VMs that do not check it.
	delimited := resp.Delimited || resp.EndChecked
	if !s.reply(nc, from, &outcome{Status: resp.Status, Header: resp.Header, Length: resp.Length, Delimited: delimited, Lifetime: resp.Lifetime}) {
		return
	}
	if err := writeBody(nc, resp); err != nil {
		s.opts.Log.Info("response for another vm broken off", zap.String("request", h.ID), zap.Stringer("vm", from), zap.String("endpoint", h.Endpoint.Name), zap.Error(err))
	}
}

// readRequest reads a request. held is the memory that its header takes, which is to be returned, and arrivedAt when it arrived at this
// VM, which may be long before it was read.
func (s *Server) readRequest(nc net.Conn, in io.Reader, body *bodybuffer.Body) (h *requestHeader, held int, arrivedAt time.Time, err error) {
	h = &requestHeader{}
	if err := nc.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
		return h, 0, arrivedAt, err
	}
	if held, err = s.readHeader(in, h); err != nil {
		return h, held, arrivedAt, err
	}
	arrivedAt = time.Now().Add(-tcpconn.SinceReceived(nc))
	if h.BodyBytes < 0 || h.BodyBytes > maxBodyBytes || !h.HasBody && h.BodyBytes > 0 {
		return h, held, arrivedAt, errTooLarge
	}
	if err := body.Read(io.LimitReader(in, int64(h.BodyBytes)), maxBodyBytes); err != nil {
		return h, held, arrivedAt, err
	}
	if len(body.Bytes()) < h.BodyBytes {
		return h, held, arrivedAt, io.ErrUnexpectedEOF
	}
	return h, held, arrivedAt, nc.SetReadDeadline(time.Time{})
}

// readHeader reads the header of a request within the memory of forwarded requests, and returns what it takes of it.
func (s *Server) readHeader(in io.Reader, h *requestHeader) (held int, err error) {
	n, err := readLength(in)
	if err != nil {
		return 0, err
	}
	if n > maxHeaderBytes {
		return 0, errTooLarge
	}
	raw := s.opts.Bodies.NewBody()
	defer raw.Release()
	if err := raw.Read(io.LimitReader(in, int64(n)), maxHeaderBytes); err != nil {
		return 0, err
	}
	if len(raw.Bytes()) < int(n) {
		return 0, io.ErrUnexpectedEOF
	}
	// A header of short lines takes many times its bytes when it is decoded.
	held = len(raw.Bytes()) + codec.DecodedBytes(raw.Bytes())
	if !s.opts.Bodies.Take(held) {
		return 0, bodybuffer.ErrBudgetUsedUp
	}
	return held, codec.Unmarshal(raw.Bytes(), h)
}

// send sends a request to its endpoint. Its errors are of type *connpool.Error.
func (s *Server) send(ctx context.Context, nc net.Conn, h *requestHeader, body *bodybuffer.Body, arrivedAt time.Time) (*connpool.Response, error) {
	endpoint, err := s.opts.Start(h.Endpoint, h.Permit)
	if err != nil {
		return nil, &connpool.Error{Err: err}
	}
	r := &connpool.Request{Method: h.Method, URI: h.URI, Host: h.Host, Header: h.Header, ArrivedAt: arrivedAt}
	if h.HasBody {
		r.Body = body.Bytes()
	}
	r.LastLook = func(context.Context) error {
		if tcpconn.Readable(nc) { // before the goroutine that cancels ctx has had its turn
			return errGone
		}
		if s.opts.LastLook == nil {
			return nil
		}
		if err := s.opts.LastLook(h.Endpoint); err != nil {
			return fmt.Errorf("%w: %w", backend.ErrHeldBack, err)
		}
		return nil
	}
	return s.opts.Send(ctx, endpoint, r)
}

// refuse replies that a request was not sent. It reads what is left of it until the other VM closes the stream: closing a
// stream with unread bytes resets it, which may discard the reply.
func (s *Server) refuse(nc net.Conn, from ident.VM, cause error) {
	if nc.SetReadDeadline(time.Now().Add(requestTimeout)) == nil && s.reply(nc, from, &outcome{Error: cause.Error()}) {
		_, _ = io.Copy(io.Discard, nc)
	}
}

// reply sends the outcome of a request and reports whether it could.
func (s *Server) reply(nc net.Conn, from ident.VM, o *outcome) bool {
	err := writeMessage(nc, o)
	if err != nil {
		s.opts.Log.Info("outcome not told to another vm", zap.Stringer("vm", from), zap.Error(err))
	}
	return err == nil
}

func (s *Server) log(from ident.VM, h *requestHeader, resp *connpool.Response, err error) {
	status := 0
	if resp != nil {
		status = resp.Status
	}
	s.opts.Metrics.GetOrCreateCounter(`fulmartide_sent_for_other_vms_total`).Inc()
	s.opts.Log.Info("sent for another vm", zap.String("request", h.ID), zap.Stringer("vm", from), zap.String("endpoint", h.Endpoint.Name),
		zap.Int("status", status), zap.Bool("may_have_arrived", err == nil || connpool.MayHaveSent(err)), zap.Error(err))
}
