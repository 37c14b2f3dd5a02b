package endpoint

import (
	"context"
	"errors"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/connpool"
)

// Plain sends calls to plain services. It implements backend.Port; there are no prompts here.
type Plain struct{ Pool *connpool.Pool }

var _ backend.Port = (*Plain)(nil)

// Run implements backend.Port.
func (p *Plain) Run(ctx context.Context, o backend.Order) (*backend.Reply, error) {
	resp, err := p.Pool.Do(ctx, &connpool.Request{
		Target: connpool.Target{Address: o.Endpoint.Address, Instance: o.Endpoint.ID.Name},
		Method: o.Call.Method, URI: o.Call.RequestURI, Host: o.Call.Host, Header: o.Call.Header, Body: o.Call.Body,
	})
	if err != nil {
		var failed *connpool.Error
		return nil, &backend.SendError{Sent: !errors.As(err, &failed) || failed.Sent, Err: err}
	}
	return &backend.Reply{Status: resp.Status, Header: resp.Header, Body: resp}, nil
}

var errNoPrompts = errors.New("plain services read no prompts")

// Prefill implements backend.Port.
func (p *Plain) Prefill(context.Context, backend.Order) (backend.Handle, error) {
	return backend.Handle{}, &backend.SendError{Err: errNoPrompts}
}

// Free implements backend.Port.
func (p *Plain) Free(context.Context, backend.Handle) error { return errNoPrompts }
