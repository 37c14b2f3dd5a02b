package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/jsonsplit"
)

// MaxWatchWait is how long the platform holds a watch request open.
const MaxWatchWait = 10 * time.Second

const (
	// maxResponseBytes is large enough for an object of MaxValueBytes in base64 or a long list.
	maxResponseBytes = 4 << 20
	idleConnTimeout  = 30 * time.Second
	maxConnections   = 16
)

// HTTPClient implements Store and VMLister with the platform's HTTP API. It is safe for concurrent use.
type HTTPClient struct {
	base    url.URL
	timeout time.Duration
	client  *http.Client
}

var (
	_ Store    = (*HTTPClient)(nil)
	_ VMLister = (*HTTPClient)(nil)
)

// NewHTTPClient returns a client of the platform at addr. Each call is limited to timeout, and each watch
// to timeout plus MaxWatchWait.
func NewHTTPClient(addr netip.AddrPort, timeout time.Duration) *HTTPClient {
	transport := &http.Transport{
		MaxIdleConns:        maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &HTTPClient{
		base:    url.URL{Scheme: "http", Host: addr.String()},
		timeout: timeout,
		client:  &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *HTTPClient) Close() { c.client.CloseIdleConnections() }

// Get implements Store.
func (c *HTTPClient) Get(ctx context.Context, name string) (Object, error) {
	var o Object
	_, err := c.call(ctx, http.MethodGet, c.objectURL(name, nil), nil, &o)
	return o, err
}

// putRequest and putResponse are the JSON bodies of a write.
type (
	putRequest struct {
		Value []byte `json:"value"`
	}
	putResponse struct {
		Version uint64 `json:"version"`
	}
)

// Put implements Store.
func (c *HTTPClient) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, fault.New(fault.TooLarge, "split the value into several objects", "value of object "+name+" exceeds 1 MiB")
	}
	raw, err := json.Marshal(putRequest{Value: value})
	if err != nil {
		return 0, fault.Wrap(err, fault.Internal, "report this", "encode object "+name)
	}
	query := url.Values{"if_version": {strconv.FormatUint(ifVersion, 10)}}
	var response putResponse
	_, err = c.call(ctx, http.MethodPut, c.objectURL(name, query), raw, &response)
	return response.Version, err
}

// Watch implements Store.
func (c *HTTPClient) Watch(ctx context.Context, name string, after uint64) (Object, error) {
	query := url.Values{"watch_after": {strconv.FormatUint(after, 10)}}
	var o Object
	status, err := c.callWithTimeout(ctx, MaxWatchWait+c.timeout, http.MethodGet, c.objectURL(name, query), nil, &o)
	if err == nil && status == http.StatusNoContent {
		return Object{}, fault.New(fault.Timeout, "read the object, then watch it again", "object "+name+" did not change while it was watched")
	}
	return o, err
}

// listResponse is a response that holds a list. Elements that cannot be read are left out.
type listResponse[T any] struct {
	// member is the name of the list, which has to be there.
	member string
	list   []T
}

// decode decodes the body of a response.
func (l *listResponse[T]) decode(raw []byte) error {
	members, err := jsonsplit.Members(raw)
	if err != nil {
		return err
	}
	elements, err := jsonsplit.Elements(members[l.member])
	if err != nil {
		return err
	}
	for _, raw := range elements {
		var element T
		if json.Unmarshal(raw, &element) == nil {
			l.list = append(l.list, element)
		}
	}
	return nil
}

// List implements Store.
func (c *HTTPClient) List(ctx context.Context, prefix string) ([]Object, error) {
	u := c.base
	u.Path = "/objects"
	u.RawQuery = url.Values{"prefix": {prefix}}.Encode()
	response := listResponse[Object]{member: "objects"}
	_, err := c.call(ctx, http.MethodGet, u.String(), nil, &response)
	return response.list, err
}

// VMs implements VMLister.
func (c *HTTPClient) VMs(ctx context.Context) ([]VM, error) {
	u := c.base
	u.Path = "/vms"
	response := listResponse[VM]{member: "vms"}
	_, err := c.call(ctx, http.MethodGet, u.String(), nil, &response)
	return response.list, err
}

func (c *HTTPClient) objectURL(name string, query url.Values) string {
	u := c.base
	u.Path = "/objects/" + name
	u.RawQuery = query.Encode()
	return u.String()
}

func (c *HTTPClient) call(ctx context.Context, method, target string, body []byte, response any) (int, error) {
	return c.callWithTimeout(ctx, c.timeout, method, target, body, response)
}

// callWithTimeout sends one request and decodes the body of a 200 response into response. It returns the
// status code of a 200 or 204 response and an error for any other.
func (c *HTTPClient) callWithTimeout(ctx context.Context, timeout time.Duration, method, target string, body []byte, response any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, fault.Wrap(err, fault.Malformed, "use object names without control characters", "create platform request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, c.callError(ctx, err)
	}
	defer resp.Body.Close()
	raw, err := readLimited(resp.Body)
	if err != nil {
		return 0, c.callError(ctx, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		err = decodeResponse(raw, response)
		return resp.StatusCode, fault.Wrap(err, fault.Unavailable, "check that the address is that of the platform", "decode platform response")
	case http.StatusNoContent:
		return resp.StatusCode, nil
	default:
		return 0, statusError(resp.StatusCode, method+" "+target)
	}
}

// decodeResponse decodes a body into out, by its own decode if it has one.
func decodeResponse(raw []byte, out any) error {
	if d, ok := out.(interface{ decode(raw []byte) error }); ok {
		return d.decode(raw)
	}
	return json.Unmarshal(raw, out)
}

var errResponseTooLarge = errors.New("response exceeds 4 MiB")

func readLimited(r io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err == nil && len(raw) > maxResponseBytes {
		err = errResponseTooLarge
	}
	return raw, err
}

// callError returns the typed error of a call that did not receive a complete response. On a timeout it also
// closes the idle connections: like the connection that timed out, they may be broken without having been
// reset.
func (c *HTTPClient) callError(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.client.CloseIdleConnections()
		return fault.Wrap(err, fault.Timeout, "read the object before retrying a write", "platform did not respond in time")
	case errors.Is(ctx.Err(), context.Canceled):
		return fault.Wrap(err, fault.Cancelled, "read the object before retrying a write", "platform call cancelled")
	default:
		return fault.Wrap(err, fault.Unavailable, "check the platform; read the object before retrying a write", "platform call failed")
	}
}

func statusError(status int, call string) error {
	message := "platform returned status " + strconv.Itoa(status) + " for " + call
	switch status {
	case http.StatusNotFound:
		return fault.New(fault.NotFound, "create the object first", message)
	case http.StatusConflict, http.StatusPreconditionFailed:
		return fault.New(fault.Conflict, "read the object again before retrying", message)
	case http.StatusRequestEntityTooLarge:
		return fault.New(fault.TooLarge, "split the value into several objects", message)
	case http.StatusTooManyRequests:
		return fault.New(fault.Overloaded, "reduce the rate of platform calls", message)
	case http.StatusRequestTimeout, http.StatusGatewayTimeout:
		return fault.New(fault.Timeout, "read the object before retrying a write", message)
	case http.StatusBadRequest:
		return fault.New(fault.Malformed, "correct the object name or the version", message)
	default:
		return fault.New(fault.Unavailable, "check the platform; read the object before retrying a write", message)
	}
}
