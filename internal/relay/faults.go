package relay

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// statusClientGone is the customary status for a call whose caller went away.
const statusClientGone = 499

var statusOf = map[fault.Kind]int{
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
	fault.Cancelled:       statusClientGone,
	fault.OutcomeUnknown:  http.StatusBadGateway,
	fault.Expired:         http.StatusConflict,
	fault.Stopping:        http.StatusServiceUnavailable,
	fault.Internal:        http.StatusInternalServerError,
}

// repeatable lists the kinds after which a caller may simply try again.
var repeatable = map[fault.Kind]bool{
	fault.PlanExceeded: true,
	fault.Overloaded:   true,
	fault.TargetMissed: true,
	fault.Unavailable:  true,
	fault.Timeout:      true,
	fault.Stopping:     true,
}

// errorBody is the JSON of a refusal. Type, Code and Param are what OpenAI clients read.
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

func describeError(id string, d fault.Detail) errorBody {
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

// writeError answers with the typed content of err.
func writeError(w http.ResponseWriter, id string, err error) fault.Detail {
	d := fault.DetailOf(err)
	status, ok := statusOf[d.Kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Should-Retry", strconv.FormatBool(repeatable[d.Kind] && d.Execution == fault.NotExecuted))
	if d.RetryAfter > 0 {
		setRetryAfter(h, d.RetryAfter)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(describeError(id, d))
	return d
}

func setRetryAfter(h http.Header, wait time.Duration) {
	seconds := int64(math.Ceil(wait.Seconds()))
	h.Set("Retry-After", strconv.FormatInt(max(1, seconds), 10))
	h.Set("Retry-After-Ms", strconv.FormatInt(max(1, wait.Milliseconds()), 10))
}
