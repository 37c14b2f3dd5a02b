package endpoint

import (
	"context"
	"errors"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/connpool"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// PlainClient sends calls to plain services. It implements backend.Client; the operations on prompts
// always fail.
type PlainClient struct{ Pool *connpool.Pool }

var _ backend.Client = (*PlainClient)(nil)

// Run implements backend.Client.
func (p *PlainClient) Run(ctx context.Context, r backend.Request) (*backend.Response, error) {
	resp, err := p.Pool.Do(ctx, &connpool.Request{
		Target: connpool.Target{Address: r.Endpoint.Address, Instance: r.Endpoint.ID.Name},
		Method: r.Call.Method, URI: r.Call.RequestURI, Host: r.Call.Host, Header: r.Call.Header, Body: r.Call.Body,
	})
	if err != nil {
		return nil, &backend.SendError{Sent: connpool.MayHaveSent(err), Err: err}
	}
	return &backend.Response{Status: resp.Status, Header: resp.Header, Body: resp, Length: resp.Length, Delimited: resp.Delimited}, nil
}

var errNoPrefill = errors.New("plain services do not support prefill")

// Prefill implements backend.Client.
func (p *PlainClient) Prefill(context.Context, backend.Request) (backend.Handle, error) {
	return backend.Handle{}, &backend.SendError{Err: errNoPrefill}
}

// Connect implements backend.Client.
func (p *PlainClient) Connect(ctx context.Context, e traffic.Endpoint) error {
	return p.Pool.Connect(ctx, connpool.Target{Address: e.Address, Instance: e.ID.Name})
}

// Free implements backend.Client.
func (p *PlainClient) Free(context.Context, backend.Handle) error { return errNoPrefill }
