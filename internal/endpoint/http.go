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
	// maxFrameBytes bounds one line of a decode stream.
	maxFrameBytes = 64 << 10
	// maxAnswerBytes bounds any other answer.
	maxAnswerBytes = 8 << 20
	// EventsLimit is how long an engine lets a call for cache events wait.
	EventsLimit = 5 * time.Second

	// callLimit bounds a call with a whole answer: one silence before its head, one within.
	callLimit = 2*SilenceLimit + 100*time.Millisecond

	idleLimit           = 20 * time.Second
	maxIdleConnections  = 4096
	maxIdlePerEndpoint  = 64
	dialLimit           = SilenceLimit
	maxResponseHeaders  = 16 << 10
	contentTypeJSON     = "application/json"
	userAgentProduct    = "fulmartide"
	pathPrefill         = "/v1/prefill"
	pathDecode          = "/v1/decode"
	pathCancel          = "/v1/cancel"
	pathLoad            = "/v1/load"
	pathHeld            = "/v1/held"
	pathEvents          = "/v1/events"
	pathOrder           = "/v1/order"
	queryAfter          = "after"
	remedyUseOther      = "use another endpoint"
	remedyCheckEndpoint = "check the endpoint, or use another"
)

// HTTPDialer gives engines that speak HTTP with JSON bodies. All share one pool of connections.
type HTTPDialer struct {
	conns     *connSet
	client    *http.Client
	userAgent string
}

// HTTPOption adjusts an HTTPDialer.
type HTTPOption func(*HTTPDialer)

// WithVM names the calling VM to endpoints, in the User-Agent header.
func WithVM(name string) HTTPOption {
	return func(d *HTTPDialer) { d.userAgent = UserAgent(name) }
}

// UserAgent gives the User-Agent header of calls from the VM called name.
func UserAgent(name string) string { return userAgentProduct + "/" + name }

var _ Dialer = (*HTTPDialer)(nil)

// NewHTTPDialer makes a dialer with an empty pool.
func NewHTTPDialer(opts ...HTTPOption) *HTTPDialer {
	conns := newConnSet()
	transport := &http.Transport{
		DialContext:            conns.dial,
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleLimit,
		MaxResponseHeaderBytes: maxResponseHeaders,
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

// Close drops idle connections.
func (d *HTTPDialer) Close() { d.client.CloseIdleConnections() }

// httpEngine is one engine behind an HTTPDialer.
type httpEngine struct {
	dialer *HTTPDialer
	addr   string
}

// Prefill implements Engine. The engine sends blank lines while it works, so that a dead
// connection shows within SilenceLimit.
func (e *httpEngine) Prefill(ctx context.Context, o PrefillOrder) (PrefillResult, error) {
	lines, err := e.open(ctx, http.MethodPost, pathPrefill, nil, o)
	if err != nil {
		return PrefillResult{}, err
	}
	defer lines.Close()
	raw, err := lines.next(ctx)
	if err != nil {
		return PrefillResult{}, err
	}
	return decodePrefill(raw)
}

// prefillAnswer is the last line of an answer to a prefill order.
type prefillAnswer struct {
	Result *PrefillResult `json:"result"`
	Error  *fault.Detail  `json:"error"`
}

func decodePrefill(raw []byte) (PrefillResult, error) {
	var a prefillAnswer
	if err := json.Unmarshal(raw, &a); err != nil {
		return PrefillResult{}, malformedAnswer(err)
	}
	if a.Error != nil {
		return PrefillResult{}, refusal(*a.Error, fault.RunUnknown)
	}
	if a.Result == nil {
		return PrefillResult{}, malformedAnswer(nil)
	}
	return *a.Result, nil
}

// Decode implements Engine. The stream outlives ctx.
func (e *httpEngine) Decode(ctx context.Context, o DecodeOrder) (Stream, error) {
	lines, err := e.open(ctx, http.MethodPost, pathDecode, nil, o)
	if err != nil {
		return nil, err
	}
	return &httpStream{lines: lines}, nil
}

type cancelOrder struct {
	Request string `json:"request"`
}

// Cancel implements Engine.
func (e *httpEngine) Cancel(ctx context.Context, request string) error {
	return e.call(ctx, callLimit, http.MethodPost, pathCancel, nil, cancelOrder{Request: request}, nil)
}

// Load implements Engine.
func (e *httpEngine) Load(ctx context.Context) (Load, error) {
	var l Load
	err := e.call(ctx, callLimit, http.MethodGet, pathLoad, nil, nil, &l)
	return l, err
}

type heldAnswer struct {
	Held []Holding `json:"held"`
}

// Held implements Engine.
func (e *httpEngine) Held(ctx context.Context) ([]Holding, error) {
	var a heldAnswer
	err := e.call(ctx, callLimit, http.MethodGet, pathHeld, nil, nil, &a)
	return a.Held, err
}

type eventsAnswer struct {
	Events []CacheEvent `json:"events"`
}

// Events implements Engine.
func (e *httpEngine) Events(ctx context.Context, after uint64) ([]CacheEvent, error) {
	query := url.Values{queryAfter: {strconv.FormatUint(after, 10)}}
	var a eventsAnswer
	err := e.call(ctx, EventsLimit+callLimit, http.MethodGet, pathEvents, query, nil, &a)
	return a.Events, err
}

// Order implements Engine.
func (e *httpEngine) Order(ctx context.Context, o Order) error {
	return e.call(ctx, callLimit, http.MethodPost, pathOrder, nil, o, nil)
}

// call makes one call with a whole answer.
func (e *httpEngine) call(ctx context.Context, limit time.Duration, method, path string, query url.Values, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	lines, err := e.open(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	defer lines.Close()
	raw, err := lines.all(ctx)
	if err != nil {
		return err
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return malformedAnswer(err)
	}
	return nil
}

// errorAnswer is the body of a refusal.
type errorAnswer struct {
	Error fault.Detail `json:"error"`
}

// statusFault types an answer that is not 200. A refusal of the 400s was not run; for others
// the engine's own statement counts, and without one the outcome is unknown.
func statusFault(status int, raw []byte) error {
	kind, run := kindOfStatus(status)
	var a errorAnswer
	if json.Unmarshal(raw, &a) == nil && a.Error.Kind != "" {
		return refusal(a.Error, run)
	}
	return fault.New(kind, remedyUseOther, "endpoint answered "+strconv.Itoa(status), fault.WithRun(run))
}

// refusal types an engine's own statement; run stands where it makes none that is known. A
// kind that engines have no say in becomes Unavailable.
func refusal(d fault.Detail, run fault.Run) error {
	switch d.Kind {
	case fault.Malformed, fault.TooLarge, fault.NotFound, fault.Conflict, fault.Overloaded, fault.Timeout, fault.Cancelled:
	default:
		d.Kind = fault.Unavailable
	}
	switch d.Run {
	case fault.NotRun, fault.RunUnknown, fault.Ran:
	default:
		d.Run = run
	}
	if d.Message == "" {
		d.Message = "endpoint gave up the request"
	}
	if d.Remedy == "" {
		d.Remedy = remedyUseOther
	}
	return d.Error()
}

func kindOfStatus(status int) (fault.Kind, fault.Run) {
	switch status {
	case http.StatusBadRequest:
		return fault.Malformed, fault.NotRun
	case http.StatusNotFound, http.StatusGone:
		return fault.NotFound, fault.NotRun
	case http.StatusConflict, http.StatusPreconditionFailed:
		return fault.Conflict, fault.NotRun
	case http.StatusRequestEntityTooLarge:
		return fault.TooLarge, fault.NotRun
	case http.StatusTooManyRequests:
		return fault.Overloaded, fault.NotRun
	}
	if status >= 400 && status < 500 {
		return fault.Malformed, fault.NotRun
	}
	return fault.Unavailable, fault.RunUnknown
}

func malformedAnswer(err error) error {
	const message = "endpoint's answer does not parse"
	if err == nil {
		return fault.New(fault.Unavailable, remedyCheckEndpoint, message, fault.WithRun(fault.RunUnknown))
	}
	return fault.Wrap(err, fault.Unavailable, remedyCheckEndpoint, message, fault.WithRun(fault.RunUnknown))
}
