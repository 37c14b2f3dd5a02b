package endpoint

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/connpool"
	"github.com/fulmartide/fulmartide/internal/ending"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// PlainClient sends calls to plain services. It implements backend.Client; the operations on prompts
// always fail.
type PlainClient struct{ Pool *connpool.Pool }

var _ backend.Client = (*PlainClient)(nil)

// Run implements backend.Client.
func (p *PlainClient) Run(ctx context.Context, r backend.Request) (*backend.Response, error) {
	target := plainTarget(r.Endpoint)
	var evidence atomic.Value
	resp, err := p.Pool.Do(ctx, &connpool.Request{
		Target: target, Method: r.Call.Method, URI: r.Call.RequestURI, Host: r.Call.Host, Header: r.Call.Header, Body: r.Call.Body,
		CheckEnd: func(ctx context.Context, _ connpool.End) error {
			found := p.observeEnd(ctx, target)
			evidence.Store(found)
			return found.Err()
		},
	})
	if err != nil {
		return nil, &backend.SendError{Sent: connpool.MayHaveSent(err), Err: err}
	}
	return &backend.Response{
		Status: resp.Status, Header: resp.Header, Body: resp, Length: resp.Length, Delimited: resp.Delimited,
		End: func() ending.Evidence { found, _ := evidence.Load().(ending.Evidence); return found },
	}, nil
}

func plainTarget(e traffic.Endpoint) connpool.Target {
	return connpool.Target{Address: e.Address, Instance: e.ID.Name}
}

// observeEnd finds out whether a plain service lives after a response that ended with its connection. It is asked nothing, as nothing
// is known of what it serves: a process that ended refuses connections.
func (p *PlainClient) observeEnd(ctx context.Context, t connpool.Target) ending.Evidence {
	err := p.Pool.Connect(ctx, t)
	return ending.Judge(ending.Observation{Answered: err == nil, Refused: errors.Is(err, syscall.ECONNREFUSED)}, ending.Sender{})
}

var errNoPrefill = errors.New("plain services do not support prefill")

// Prefill implements backend.Client.
func (p *PlainClient) Prefill(context.Context, backend.Request) (backend.Handle, error) {
	return backend.Handle{}, &backend.SendError{Err: errNoPrefill}
}

// Connect implements backend.Client.
func (p *PlainClient) Connect(ctx context.Context, e traffic.Endpoint) error {
	return p.Pool.Connect(ctx, plainTarget(e))
}

// Free implements backend.Client.
func (p *PlainClient) Free(context.Context, backend.Handle) error { return errNoPrefill }
