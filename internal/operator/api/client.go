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

// dialTimeout limits one connection attempt, so that an unreachable VM does not use up the time for
// the next one.
const dialTimeout = 2 * time.Second

// Client calls the operator API of the first VM that responds.
type Client struct {
	addresses []netip.AddrPort
	timeout   time.Duration
	http      *http.Client
}

// NewClient returns a client that tries addresses in order, each with the given timeout.
func NewClient(addresses []netip.AddrPort, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		addresses: addresses,
		timeout:   timeout,
		http:      &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}},
	}
}

// AddressCount returns the number of configured VM addresses.
func (c *Client) AddressCount() int { return len(c.addresses) }

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Apply applies a configuration document.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (ApplyResponse, error) {
	return postCommand[ApplyRequest, ApplyResponse](ctx, c, PathApply, req)
}

// Give creates a key.
func (c *Client) Give(ctx context.Context, req GiveRequest) (GiveResponse, error) {
	return postCommand[GiveRequest, GiveResponse](ctx, c, PathGive, req)
}

// Withdraw invalidates a key.
func (c *Client) Withdraw(ctx context.Context, req WithdrawRequest) (WithdrawResponse, error) {
	return postCommand[WithdrawRequest, WithdrawResponse](ctx, c, PathWithdraw, req)
}

// Drain marks an endpoint as leaving, or clears the mark.
func (c *Client) Drain(ctx context.Context, req DrainRequest) (DrainResponse, error) {
	return postCommand[DrainRequest, DrainResponse](ctx, c, PathDrain, req)
}

// Configuration returns the VM's current configuration.
func (c *Client) Configuration(ctx context.Context) (ConfigurationResponse, error) {
	return getQuery[ConfigurationResponse](ctx, c, PathConfiguration, "")
}

// History returns the latest configuration changes.
func (c *Client) History(ctx context.Context) (HistoryResponse, error) {
	return getQuery[HistoryResponse](ctx, c, PathHistory, "")
}

// Confirmations returns the current configuration version of each VM.
func (c *Client) Confirmations(ctx context.Context) (ConfirmationsResponse, error) {
	return getQuery[ConfirmationsResponse](ctx, c, PathConfirmations, "")
}

// Keys returns all keys without their secrets.
func (c *Client) Keys(ctx context.Context) (KeysResponse, error) {
	return getQuery[KeysResponse](ctx, c, PathKeys, "")
}

// KeyConfirmations returns which data centres have confirmed the withdrawal of a key.
func (c *Client) KeyConfirmations(ctx context.Context, keyID string) (WithdrawResponse, error) {
	return getQuery[WithdrawResponse](ctx, c, PathKeyConfirmations, keyID)
}

// Status returns the VM's view of the fleet.
func (c *Client) Status(ctx context.Context) (StatusResponse, error) {
	return getQuery[StatusResponse](ctx, c, PathStatus, "")
}

// Endpoints returns the endpoints with their load.
func (c *Client) Endpoints(ctx context.Context) (EndpointsResponse, error) {
	return getQuery[EndpointsResponse](ctx, c, PathEndpoints, "")
}

// Explain returns the trace of a request.
func (c *Client) Explain(ctx context.Context, requestID string) (ExplainResponse, error) {
	return getQuery[ExplainResponse](ctx, c, PathExplain, requestID)
}

func postCommand[Req, Resp any](ctx context.Context, c *Client, path string, req Req) (Resp, error) {
	var resp Resp
	body, err := json.Marshal(req)
	if err != nil {
		return resp, fault.Wrap(err, fault.Malformed, "remove values that JSON cannot represent", "encode request")
	}
	err = c.do(ctx, apiRequest{method: http.MethodPost, path: path, body: body}, &resp)
	return resp, err
}

func getQuery[Resp any](ctx context.Context, c *Client, path, id string) (Resp, error) {
	var resp Resp
	if id != "" {
		path += "?" + url.Values{ParameterID: {id}}.Encode()
	}
	err := c.do(ctx, apiRequest{method: http.MethodGet, path: path}, &resp)
	return resp, err
}

// apiRequest is a request that may be sent to several VMs.
type apiRequest struct {
	method string
	path   string
	body   []byte
}

func (c apiRequest) isQuery() bool { return c.method == http.MethodGet }

// do sends the request to the VMs in order until one responds. It does not send a command to another
// VM if the previous one may have received it.
func (c *Client) do(ctx context.Context, r apiRequest, out any) error {
	var tried []string
	for _, address := range c.addresses {
		mayHaveArrived, err := c.send(ctx, address, r, out)
		if err == nil || mayHaveArrived && !isTransportError(err) {
			return err
		}
		if mayHaveArrived && !r.isQuery() {
			return fault.Wrap(err, fault.OutcomeUnknown, "check whether the change was made before you repeat the command",
				"no response from "+address.String(), fault.WithExecution(fault.ExecutionUnknown))
		}
		tried = append(tried, fmt.Sprintf("%s: %v", address, err))
		if ctx.Err() != nil {
			break
		}
	}
	return fault.Wrap(ErrUnreachable, fault.Unavailable, "name running VMs with --vm, and check that their operator ports are reachable",
		strings.Join(tried, "; "))
}

// ErrUnreachable is wrapped by the returned error if no VM responded.
var ErrUnreachable = errors.New("no VM responded")

// transportError is a connection failure, as opposed to an error response.
type transportError struct{ error }

func isTransportError(err error) bool {
	_, ok := err.(transportError)
	return ok
}

// send sends the request to one VM. mayHaveArrived reports whether the VM may have received it.
func (c *Client) send(ctx context.Context, address netip.AddrPort, r apiRequest, out any) (mayHaveArrived bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { mayHaveArrived = true }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address.String()+r.path, bytes.NewReader(r.body))
	if err != nil {
		return false, transportError{err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return mayHaveArrived, transportError{err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes))
	if err != nil {
		return true, transportError{err}
	}
	if resp.StatusCode != http.StatusOK {
		return true, decodeErrorResponse(resp.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return true, fault.Wrap(err, fault.Malformed, "use the fulmartide tool of the same release as the daemon", "decode response of "+address.String())
	}
	return true, nil
}

func decodeErrorResponse(status int, raw []byte) error {
	var f ErrorResponse
	if err := json.Unmarshal(raw, &f); err != nil || f.Error.Kind == "" {
		return fault.New(fault.Malformed, "check that --vm names operator addresses of fulmartide daemons",
			fmt.Sprintf("HTTP status %d without a valid error response", status))
	}
	return f.Error.Err()
}
