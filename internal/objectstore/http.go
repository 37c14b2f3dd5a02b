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
)

// WatchLimit is how long the platform lets one watch wait.
const WatchLimit = 10 * time.Second

const (
	// maxAnswerBytes holds one object in base64, or a long list.
	maxAnswerBytes = 4 << 20
	idleLimit      = 30 * time.Second
	maxConnections = 16
)

// HTTPClient speaks the platform's HTTP forms with JSON bodies. It is safe for use by many
// goroutines.
type HTTPClient struct {
	base    url.URL
	timeout time.Duration
	client  *http.Client
}

var (
	_ Store    = (*HTTPClient)(nil)
	_ VMLister = (*HTTPClient)(nil)
)

// NewHTTPClient makes a client of the platform at addr. timeout bounds each call; a watch may
// wait WatchLimit longer.
func NewHTTPClient(addr netip.AddrPort, timeout time.Duration) *HTTPClient {
	transport := &http.Transport{
		MaxIdleConns:        maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleLimit,
		DisableCompression:  true,
	}
	return &HTTPClient{
		base:    url.URL{Scheme: "http", Host: addr.String()},
		timeout: timeout,
		client:  &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close drops idle connections.
func (c *HTTPClient) Close() { c.client.CloseIdleConnections() }

// Get implements Store.
func (c *HTTPClient) Get(ctx context.Context, name string) (Object, error) {
	var o Object
	_, err := c.call(ctx, http.MethodGet, c.objectURL(name, nil), nil, &o)
	return o, err
}

// putBody and putAnswer are the JSON forms of a write.
type (
	putBody struct {
		Value []byte `json:"value"`
	}
	putAnswer struct {
		Version uint64 `json:"version"`
	}
)

// Put implements Store.
func (c *HTTPClient) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, fault.New(fault.TooLarge, "split the value over several objects", "object "+name+" is over 1 MiB")
	}
	raw, err := json.Marshal(putBody{Value: value})
	if err != nil {
		return 0, fault.Wrap(err, fault.Internal, "report this", "encode object "+name)
	}
	query := url.Values{"if_version": {strconv.FormatUint(ifVersion, 10)}}
	var answer putAnswer
	_, err = c.call(ctx, http.MethodPut, c.objectURL(name, query), raw, &answer)
	return answer.Version, err
}

// Watch implements Store.
func (c *HTTPClient) Watch(ctx context.Context, name string, after uint64) (Object, error) {
	query := url.Values{"watch_after": {strconv.FormatUint(after, 10)}}
	var o Object
	status, err := c.callWithin(ctx, WatchLimit+c.timeout, http.MethodGet, c.objectURL(name, query), nil, &o)
	if err == nil && status == http.StatusNoContent {
		return Object{}, fault.New(fault.Timeout, "read the object, then watch again", "object "+name+" did not change")
	}
	return o, err
}

// listAnswer is the JSON form of a list of objects.
type listAnswer struct {
	Objects []Object `json:"objects"`
}

// List implements Store.
func (c *HTTPClient) List(ctx context.Context, prefix string) ([]Object, error) {
	u := c.base
	u.Path = "/objects"
	u.RawQuery = url.Values{"prefix": {prefix}}.Encode()
	var answer listAnswer
	_, err := c.call(ctx, http.MethodGet, u.String(), nil, &answer)
	return answer.Objects, err
}

// vmsAnswer is the JSON form of the list of VMs.
type vmsAnswer struct {
	VMs []VM `json:"vms"`
}

// VMs implements VMLister.
func (c *HTTPClient) VMs(ctx context.Context) ([]VM, error) {
	u := c.base
	u.Path = "/vms"
	var answer vmsAnswer
	_, err := c.call(ctx, http.MethodGet, u.String(), nil, &answer)
	return answer.VMs, err
}

func (c *HTTPClient) objectURL(name string, query url.Values) string {
	u := c.base
	u.Path = "/objects/" + name
	u.RawQuery = query.Encode()
	return u.String()
}

func (c *HTTPClient) call(ctx context.Context, method, target string, body []byte, answer any) (int, error) {
	return c.callWithin(ctx, c.timeout, method, target, body, answer)
}

// callWithin makes one call and decodes a 200 answer. It gives the status of 200 and 204.
func (c *HTTPClient) callWithin(ctx context.Context, limit time.Duration, method, target string, body []byte, answer any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, fault.Wrap(err, fault.Malformed, "use object names without control characters", "platform call")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, c.callFault(ctx, err)
	}
	defer resp.Body.Close()
	raw, err := readBounded(resp.Body)
	if err != nil {
		return 0, c.callFault(ctx, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		err = json.Unmarshal(raw, answer)
		return resp.StatusCode, fault.Wrap(err, fault.Unavailable, "check that this address is the platform's", "platform answer")
	case http.StatusNoContent:
		return resp.StatusCode, nil
	default:
		return 0, statusFault(resp.StatusCode, method+" "+target)
	}
}

var errAnswerTooLarge = errors.New("answer is over the limit")

func readBounded(r io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes+1))
	if err == nil && len(raw) > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	return raw, err
}

// callFault types the error of a call without a whole answer. A connection that gave none in
// time may be dead without notice, and so may the idle ones beside it.
func (c *HTTPClient) callFault(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.client.CloseIdleConnections()
		return fault.Wrap(err, fault.Timeout, "read back before trying a write again", "platform gave no answer in time")
	case errors.Is(ctx.Err(), context.Canceled):
		return fault.Wrap(err, fault.Cancelled, "read back before trying a write again", "platform call was given up")
	default:
		return fault.Wrap(err, fault.Unavailable, "check the platform; read back before trying a write again", "platform call")
	}
}

func statusFault(status int, call string) error {
	message := "platform answered " + strconv.Itoa(status) + " to " + call
	switch status {
	case http.StatusNotFound:
		return fault.New(fault.NotFound, "create the object first", message)
	case http.StatusConflict, http.StatusPreconditionFailed:
		return fault.New(fault.Conflict, "read the object and decide again", message)
	case http.StatusRequestEntityTooLarge:
		return fault.New(fault.TooLarge, "split the value over several objects", message)
	case http.StatusTooManyRequests:
		return fault.New(fault.Overloaded, "call the platform less often", message)
	case http.StatusRequestTimeout, http.StatusGatewayTimeout:
		return fault.New(fault.Timeout, "read back before trying a write again", message)
	case http.StatusBadRequest:
		return fault.New(fault.Malformed, "correct the name or the version", message)
	default:
		return fault.New(fault.Unavailable, "check the platform; read back before trying a write again", message)
	}
}
