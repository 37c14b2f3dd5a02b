package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// MaxBodyBytes is the most of one request or response, in bytes.
const MaxBodyBytes = 4 << 20

// Failure is the body of a response that is not a success.
type Failure struct {
	Error fault.Detail `json:"error"`
}

var statuses = map[fault.Kind]int{
	fault.Malformed:       http.StatusBadRequest,
	fault.Unauthenticated: http.StatusUnauthorized,
	fault.Forbidden:       http.StatusForbidden,
	fault.NotFound:        http.StatusNotFound,
	fault.Conflict:        http.StatusConflict,
	fault.TooLarge:        http.StatusRequestEntityTooLarge,
	fault.PlanExceeded:    http.StatusTooManyRequests,
	fault.Overloaded:      http.StatusServiceUnavailable,
	fault.Unavailable:     http.StatusServiceUnavailable,
	fault.Stopping:        http.StatusServiceUnavailable,
	fault.Timeout:         http.StatusGatewayTimeout,
}

// Reply writes a response, or err as a Failure.
func Reply(w http.ResponseWriter, body any, err error) {
	status := http.StatusOK
	if err != nil {
		d := fault.DetailOf(err)
		body = Failure{d}
		status = http.StatusInternalServerError
		if s, ok := statuses[d.Kind]; ok {
			status = s
		}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n'))
}

// Command makes the handler of one command.
func Command[Req, Resp any](do func(ctx context.Context, req *Req) (*Resp, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if err := decode(http.MaxBytesReader(w, r.Body, MaxBodyBytes), &req); err != nil {
			Reply(w, nil, err)
			return
		}
		resp, err := do(r.Context(), &req)
		Reply(w, resp, err)
	})
}

// decode reads one JSON value whose keys are all known.
func decode(r io.Reader, into any) error {
	raw, err := io.ReadAll(r)
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return fault.New(fault.TooLarge, "send less", "request is over the size limit")
	}
	if err != nil {
		return fault.Wrap(err, fault.Malformed, "send the request again", "read request")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fault.Wrap(err, fault.Malformed, "use a tool of the daemon's release", "decode request")
	}
	if dec.More() {
		return fault.New(fault.Malformed, "send one JSON value", "more follows the request")
	}
	return nil
}

// Query makes the handler of one query. Its parameter is empty where the query takes none.
func Query[Resp any](do func(ctx context.Context, id string) (*Resp, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, err := do(r.Context(), r.URL.Query().Get(ParameterID))
		Reply(w, resp, err)
	})
}

// NotFound is the handler of unknown paths.
func NotFound(w http.ResponseWriter, r *http.Request) {
	Reply(w, nil, fault.New(fault.NotFound, "use a tool of the daemon's release", "no such operator call: "+r.Method+" "+r.URL.Path))
}
