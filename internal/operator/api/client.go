package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// dialTimeout bounds one connection attempt, so that the next VM is tried in time.
const dialTimeout = 2 * time.Second

// Client calls the operator API of the first VM that answers.
type Client struct {
	addresses []netip.AddrPort
	timeout   time.Duration
	http      *http.Client
}

// NewClient makes a client that tries addresses in order and waits for each answer for timeout.
func NewClient(addresses []netip.AddrPort, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		addresses: addresses,
		timeout:   timeout,
		http:      &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}},
	}
}

// Addresses gives the number of VMs that the client tries.
func (c *Client) Addresses() int { return len(c.addresses) }

// Close ends the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Apply puts a document in force.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (ApplyResponse, error) {
	return command[ApplyRequest, ApplyResponse](ctx, c, PathApply, req)
}

// Give makes a key.
func (c *Client) Give(ctx context.Context, req GiveRequest) (GiveResponse, error) {
	return command[GiveRequest, GiveResponse](ctx, c, PathGive, req)
}

// Withdraw stops a key.
func (c *Client) Withdraw(ctx context.Context, req WithdrawRequest) (WithdrawResponse, error) {
	return command[WithdrawRequest, WithdrawResponse](ctx, c, PathWithdraw, req)
}

// Drain marks an endpoint as leaving.
func (c *Client) Drain(ctx context.Context, req DrainRequest) (DrainResponse, error) {
	return command[DrainRequest, DrainResponse](ctx, c, PathDrain, req)
}

// Configuration reads the configuration in force.
func (c *Client) Configuration(ctx context.Context) (ConfigurationResponse, error) {
	return query[ConfigurationResponse](ctx, c, PathConfiguration, "")
}

// History reads the latest changes.
func (c *Client) History(ctx context.Context) (HistoryResponse, error) {
	return query[HistoryResponse](ctx, c, PathHistory, "")
}

// Confirmations reads which version each VM has in force.
func (c *Client) Confirmations(ctx context.Context) (ConfirmationsResponse, error) {
	return query[ConfirmationsResponse](ctx, c, PathConfirmations, "")
}

// Keys lists the keys.
func (c *Client) Keys(ctx context.Context) (KeysResponse, error) {
	return query[KeysResponse](ctx, c, PathKeys, "")
}

// KeyConfirmations reads how far a withdrawal has come.
func (c *Client) KeyConfirmations(ctx context.Context, keyID string) (WithdrawResponse, error) {
	return query[WithdrawResponse](ctx, c, PathKeyConfirmations, keyID)
}

// Status reads what the VM knows.
func (c *Client) Status(ctx context.Context) (StatusResponse, error) {
	return query[StatusResponse](ctx, c, PathStatus, "")
}

// Endpoints lists the endpoints with their load.
func (c *Client) Endpoints(ctx context.Context) (EndpointsResponse, error) {
	return query[EndpointsResponse](ctx, c, PathEndpoints, "")
}

// Explain reads the steps of a request.
func (c *Client) Explain(ctx context.Context, requestID string) (ExplainResponse, error) {
	return query[ExplainResponse](ctx, c, PathExplain, requestID)
}

func command[Req, Resp any](ctx context.Context, c *Client, path string, req Req) (Resp, error) {
	var resp Resp
	body, err := json.Marshal(req)
	if err != nil {
		return resp, fault.Wrap(err, fault.Malformed, "remove values that JSON cannot hold", "encode request")
	}
	err = c.do(ctx, call{method: http.MethodPost, path: path, body: body}, &resp)
	return resp, err
}

func query[Resp any](ctx context.Context, c *Client, path, id string) (Resp, error) {
	var resp Resp
	if id != "" {
		path += "?" + url.Values{ParameterID: {id}}.Encode()
	}
	err := c.do(ctx, call{method: http.MethodGet, path: path}, &resp)
	return resp, err
}

// call is one request that may be tried at several VMs.
type call struct {
	method string
	path   string
	body   []byte
}

func (c call) isQuery() bool { return c.method == http.MethodGet }

// do tries the VMs in order. A command that may have reached a VM is not tried at another.
func (c *Client) do(ctx context.Context, r call, into any) error {
	var tried []string
	for _, address := range c.addresses {
		reached, err := c.try(ctx, address, r, into)
		if err == nil || reached && !isTransport(err) {
			return err
		}
		if reached && !r.isQuery() {
			return fault.Wrap(err, fault.OutcomeUnknown, "look whether the change was made before you repeat it", "no answer from "+address.String(), fault.WithExecution(fault.ExecutionUnknown))
		}
		tried = append(tried, fmt.Sprintf("%s: %v", address, err))
		if ctx.Err() != nil {
			break
		}
	}
	return fault.Wrap(ErrUnreachable, fault.Unavailable, "name VMs that run with --vm, and check that their operator ports can be reached", strings.Join(tried, "; "))
}

// ErrUnreachable is the cause of an error when no VM answered.
var ErrUnreachable = errors.New("no VM answered")

// transportError is a failure below the API.
type transportError struct{ error }

func isTransport(err error) bool {
	_, ok := err.(transportError)
	return ok
}

// try makes one request. reached says that the VM may have got it.
func (c *Client) try(ctx context.Context, address netip.AddrPort, r call, into any) (reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { reached = true }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address.String()+r.path, bytes.NewReader(r.body))
	if err != nil {
		return false, transportError{err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reached, transportError{err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes))
	if err != nil {
		return true, transportError{err}
	}
	if resp.StatusCode != http.StatusOK {
		return true, failure(resp.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return true, fault.Wrap(err, fault.Malformed, "use a tool of the daemon's release", "decode response of "+address.String())
	}
	return true, nil
}

func failure(status int, raw []byte) error {
	var f Failure
	if err := json.Unmarshal(raw, &f); err != nil || f.Error.Kind == "" {
		return fault.New(fault.Malformed, "check that --vm names operator addresses of this product", fmt.Sprintf("HTTP status %d without a fault", status))
	}
	return f.Error.Err()
}
