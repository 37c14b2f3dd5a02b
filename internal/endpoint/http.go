package endpoint

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

const (
	// maxLineBytes is the maximum length of a line in a stream.
	maxLineBytes = 64 << 10
	// maxResponseBytes is the maximum size of any other response.
	maxResponseBytes = 8 << 20
	// EventsPollTimeout is how long an engine may wait for cache events before it responds to a request
	// for them.
	EventsPollTimeout = 5 * time.Second

	// callTimeout is the timeout of a call whose response is not a stream: InactivityTimeout until
	// the header, once more until the end of the body, and a margin.
	callTimeout = 2*InactivityTimeout + 100*time.Millisecond

	idleConnTimeout         = 20 * time.Second
	maxIdleConns            = 4096
	maxIdleConnsPerEndpoint = 64
	dialTimeout             = MaxPause
	maxResponseHeaderBytes  = 16 << 10
	contentTypeJSON         = "application/json"
	userAgentProduct        = "fulmartide"
	pathPrefill             = "/v1/prefill"
	pathDecode              = "/v1/decode"
	pathCancel              = "/v1/cancel"
	pathLoad                = "/v1/load"
	pathHeld                = "/v1/held"
	pathEvents              = "/v1/events"
	pathOrder               = "/v1/order"
	queryAfter              = "after"
	remedyUseAnother        = "use another endpoint"
	remedyCheckEndpoint     = "check the endpoint, or use another"
)

// HTTPDialer returns clients of engines that speak HTTP with JSON bodies. All clients share one
// connection pool.
type HTTPDialer struct {
	conns     *connTracker
	client    *http.Client
	userAgent string
}

// HTTPOption configures an HTTPDialer.
type HTTPOption func(*HTTPDialer)

// WithVM sets the VM name that is sent to endpoints in the User-Agent header.
func WithVM(name string) HTTPOption {
	return func(d *HTTPDialer) { d.userAgent = UserAgent(name) }
}

// UserAgent returns the User-Agent header of calls from the VM called name.
func UserAgent(name string) string { return userAgentProduct + "/" + name }

var _ Dialer = (*HTTPDialer)(nil)

// NewHTTPDialer returns a dialer with an empty connection pool.
func NewHTTPDialer(opts ...HTTPOption) *HTTPDialer {
	conns := newConnTracker()
	transport := &http.Transport{
		DialContext:            conns.dial,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConnsPerEndpoint,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	d := &HTTPDialer{
		conns:     conns,
		client:    &http.Client{Transport: transport, CheckRedirect: noRedirect},
		userAgent: userAgentProduct,
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Engine implements Dialer.
func (d *HTTPDialer) Engine(addr netip.AddrPort) Engine {
	return &httpEngine{dialer: d, addr: addr.String()}
}

// Close closes idle connections.
func (d *HTTPDialer) Close() { d.client.CloseIdleConnections() }

// httpEngine is the client of one engine.
type httpEngine struct {
	dialer *HTTPDialer
	addr   string
}

// Prefill implements Engine. The engine sends blank lines while it works, so a dead connection is
// detected within InactivityTimeout.
func (e *httpEngine) Prefill(ctx context.Context, r PrefillRequest) (PrefillResult, error) {
	lines, err := e.open(ctx, http.MethodPost, pathPrefill, nil, r)
	if err != nil {
		return PrefillResult{}, err
	}
	defer lines.Close()
	raw, err := lines.next(ctx)
	if err != nil {
		return PrefillResult{}, err
	}
	return parsePrefillResponse(raw)
}

// prefillResponse is the last line of the response to a prefill request.
type prefillResponse struct {
	Result *PrefillResult `json:"result"`
	Error  *fault.Detail  `json:"error"`
}

func parsePrefillResponse(raw []byte) (PrefillResult, error) {
	var a prefillResponse
	if err := json.Unmarshal(raw, &a); err != nil {
		return PrefillResult{}, malformedResponse(err)
	}
	if a.Error != nil {
		return PrefillResult{}, engineError(*a.Error, fault.ExecutionUnknown)
	}
	if a.Result == nil {
		return PrefillResult{}, malformedResponse(nil)
	}
	return *a.Result, nil
}

// Decode implements Engine. The stream is not bound to ctx once Decode has returned.
func (e *httpEngine) Decode(ctx context.Context, r DecodeRequest) (Stream, error) {
	lines, err := e.open(ctx, http.MethodPost, pathDecode, nil, r)
	if err != nil {
		return nil, err
	}
	return &httpStream{lines: lines}, nil
}

type cancelRequest struct {
	Request string `json:"request"`
}

// Cancel implements Engine.
func (e *httpEngine) Cancel(ctx context.Context, request string) error {
	return e.call(ctx, callTimeout, http.MethodPost, pathCancel, nil, cancelRequest{Request: request}, nil)
}

// Load implements Engine.
func (e *httpEngine) Load(ctx context.Context) (Load, error) {
	var l Load
	err := e.call(ctx, callTimeout, http.MethodGet, pathLoad, nil, nil, &l)
	return l, err
}

type heldResponse struct {
	Held []Allocation `json:"held"`
}

// Allocations implements Engine.
func (e *httpEngine) Allocations(ctx context.Context) ([]Allocation, error) {
	var a heldResponse
	err := e.call(ctx, callTimeout, http.MethodGet, pathHeld, nil, nil, &a)
	return a.Held, err
}

type eventsResponse struct {
	Events []CacheEvent `json:"events"`
}

// Events implements Engine.
func (e *httpEngine) Events(ctx context.Context, after uint64) ([]CacheEvent, error) {
	query := url.Values{queryAfter: {strconv.FormatUint(after, 10)}}
	var a eventsResponse
	err := e.call(ctx, EventsPollTimeout+callTimeout, http.MethodGet, pathEvents, query, nil, &a)
	return a.Events, err
}

// Configure implements Engine.
func (e *httpEngine) Configure(ctx context.Context, r ConfigureRequest) error {
	return e.call(ctx, callTimeout, http.MethodPost, pathOrder, nil, r, nil)
}

// call makes a call whose response is not a stream.
func (e *httpEngine) call(ctx context.Context, timeout time.Duration, method, path string,
	query url.Values, body, response any,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	lines, err := e.open(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	defer lines.Close()
	raw, err := lines.readAll(ctx)
	if err != nil {
		return err
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(raw, response); err != nil {
		return malformedResponse(err)
	}
	return nil
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error fault.Detail `json:"error"`
}

// statusError converts a response with a status other than 200 to an error. If the engine does not
// state whether it ran the request, a 4xx status means that it did not; with any other status the
// outcome is unknown.
func statusError(status int, raw []byte) error {
	kind, run := kindOfStatus(status)
	var a errorResponse
	if json.Unmarshal(raw, &a) == nil && a.Error.Kind != "" {
		return engineError(a.Error, run)
	}
	return fault.New(kind, remedyUseAnother, "endpoint responded with status "+strconv.Itoa(status), fault.WithExecution(run))
}

// engineError converts the error that an engine reported. execution applies if the engine does not
// validly state whether it executed the request. Kinds that engines must not report become
// Unavailable.
func engineError(d fault.Detail, execution fault.Execution) error {
	switch d.Kind {
	case fault.Malformed, fault.TooLarge, fault.NotFound, fault.Conflict, fault.Overloaded, fault.Timeout, fault.Cancelled:
	default:
		d.Kind = fault.Unavailable
	}
	switch d.Execution {
	case fault.NotExecuted, fault.ExecutionUnknown, fault.Executed:
	default:
		d.Execution = execution
	}
	if d.Message == "" {
		d.Message = "endpoint failed the request without a message"
	}
	if d.Remedy == "" {
		d.Remedy = remedyUseAnother
	}
	return d.Err()
}

func kindOfStatus(status int) (fault.Kind, fault.Execution) {
	switch status {
	case http.StatusBadRequest:
		return fault.Malformed, fault.NotExecuted
	case http.StatusNotFound, http.StatusGone:
		return fault.NotFound, fault.NotExecuted
	case http.StatusConflict, http.StatusPreconditionFailed:
		return fault.Conflict, fault.NotExecuted
	case http.StatusRequestEntityTooLarge:
		return fault.TooLarge, fault.NotExecuted
	case http.StatusTooManyRequests:
		return fault.Overloaded, fault.NotExecuted
	}
	if status >= 400 && status < 500 {
		return fault.Malformed, fault.NotExecuted
	}
	return fault.Unavailable, fault.ExecutionUnknown
}

func malformedResponse(err error) error {
	const message = "endpoint sent a malformed response"
	if err == nil {
		return fault.New(fault.Unavailable, remedyCheckEndpoint, message, fault.WithExecution(fault.ExecutionUnknown))
	}
	return fault.Wrap(err, fault.Unavailable, remedyCheckEndpoint, message, fault.WithExecution(fault.ExecutionUnknown))
}
