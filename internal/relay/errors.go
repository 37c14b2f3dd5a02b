package relay

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// statusClientClosedRequest is the non-standard status, introduced by nginx, for a request that
// the client closed before the response.
const statusClientClosedRequest = 499

var statusByKind = map[fault.Kind]int{
	fault.Malformed:       http.StatusBadRequest,
	fault.TooLarge:        http.StatusRequestEntityTooLarge,
	fault.Unauthenticated: http.StatusUnauthorized,
	fault.Forbidden:       http.StatusForbidden,
	fault.NotFound:        http.StatusNotFound,
	fault.Conflict:        http.StatusConflict,
	fault.PlanExceeded:    http.StatusTooManyRequests,
	fault.Overloaded:      http.StatusServiceUnavailable,
	fault.TargetMissed:    http.StatusServiceUnavailable,
	fault.Unavailable:     http.StatusServiceUnavailable,
	fault.Timeout:         http.StatusGatewayTimeout,
	fault.Cancelled:       statusClientClosedRequest,
	fault.OutcomeUnknown:  http.StatusBadGateway,
	fault.Expired:         http.StatusConflict,
	fault.Stopping:        http.StatusServiceUnavailable,
	fault.Internal:        http.StatusInternalServerError,
}

// retryableKinds are the kinds after which the caller may retry the unchanged request.
var retryableKinds = map[fault.Kind]bool{
	fault.PlanExceeded: true,
	fault.Overloaded:   true,
	fault.TargetMissed: true,
	fault.Unavailable:  true,
	fault.Timeout:      true,
	fault.Stopping:     true,
}

// errorBody is the JSON body of an error response. OpenAI clients read Type, Code and Param.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string          `json:"message"`
	Type      fault.Kind      `json:"type"`
	Code      fault.Kind      `json:"code"`
	Param     *string         `json:"param"`
	Kind      fault.Kind      `json:"kind"`
	Remedy    string          `json:"remedy"`
	Run       fault.Execution `json:"run"`
	RequestID string          `json:"request_id"`
}

func newErrorBody(id string, d fault.Detail) errorBody {
	return errorBody{Error: errorDetail{
		Message:   d.Message + ": " + d.Remedy,
		Type:      d.Kind,
		Code:      d.Kind,
		Kind:      d.Kind,
		Remedy:    d.Remedy,
		Run:       d.Execution,
		RequestID: id,
	}}
}

// statusCode returns the status of an error response. 503 invites callers to repeat the call, so one that may have run gets 502.
func statusCode(d fault.Detail) int {
	status, ok := statusByKind[d.Kind]
	switch {
	case !ok:
		return http.StatusInternalServerError
	case status == http.StatusServiceUnavailable && d.Execution != fault.NotExecuted:
		return http.StatusBadGateway
	}
	return status
}

// writeError writes err as a JSON error response and returns its detail.
func writeError(w http.ResponseWriter, id string, err error) fault.Detail {
	d := fault.DetailOf(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Should-Retry", strconv.FormatBool(retryableKinds[d.Kind] && d.Execution == fault.NotExecuted))
	if d.RetryAfter > 0 && d.Execution == fault.NotExecuted {
		setRetryAfter(h, d.RetryAfter)
	}
	raw, _ := json.Marshal(newErrorBody(id, d))       // strings only
	h.Set("Content-Length", strconv.Itoa(len(raw)+1)) // the response is whole before the rest of a request's body is discarded
	w.WriteHeader(statusCode(d))
	_, _ = w.Write(append(raw, '\n'))
	return d
}

func setRetryAfter(h http.Header, delay time.Duration) {
	seconds := int64(math.Ceil(delay.Seconds()))
	h.Set("Retry-After", strconv.FormatInt(max(1, seconds), 10))
	h.Set("Retry-After-Ms", strconv.FormatInt(max(1, delay.Milliseconds()), 10))
}
