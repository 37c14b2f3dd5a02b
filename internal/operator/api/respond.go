package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// MaxBodyBytes is the maximum size of a request or response body.
const MaxBodyBytes = 4 << 20

// ErrorResponse is the body of a response whose status is not 200.
type ErrorResponse struct {
	Error fault.Detail `json:"error"`
}

var httpStatus = map[fault.Kind]int{
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

// WriteResponse writes body as JSON, or err as an ErrorResponse if it is not nil.
func WriteResponse(w http.ResponseWriter, body any, err error) {
	status := http.StatusOK
	if err != nil {
		d := fault.DetailOf(err)
		body = ErrorResponse{d}
		status = http.StatusInternalServerError
		if s, ok := httpStatus[d.Kind]; ok {
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

// CommandHandler returns the HTTP handler of a command.
func CommandHandler[Req, Resp any](do func(ctx context.Context, req *Req) (*Resp, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req Req
		raw, release, err := readBody(w, r)
		defer release()
		if err := decodeRequest(raw, err, &req); err != nil {
			WriteResponse(w, nil, err)
			return
		}
		resp, err := do(r.Context(), &req)
		WriteResponse(w, resp, err)
	})
}

// decodeRequest decodes a single JSON value and rejects unknown keys. err is the error of reading it.
func decodeRequest(raw []byte, err error, out any) error {
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return fault.New(fault.TooLarge, "send a smaller request", "request exceeds the size limit")
	case errors.Is(err, errBusy):
		return err
	case err != nil:
		return fault.Wrap(err, fault.Malformed, "send the request again", "read request")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return fault.Wrap(err, fault.Malformed, "correct the JSON value, or use the fulmartide tool of the same release as the daemon", "decode request")
	}
	if dec.More() {
		return fault.New(fault.Malformed, "send one JSON value", "unexpected data after the request")
	}
	return nil
}

// QueryHandler returns the HTTP handler of a query. id is empty if the request has no ParameterID.
func QueryHandler[Resp any](do func(ctx context.Context, id string) (*Resp, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, err := do(r.Context(), r.URL.Query().Get(ParameterID))
		WriteResponse(w, resp, err)
	})
}

// NotFound handles requests for unknown paths.
func NotFound(w http.ResponseWriter, r *http.Request) {
	WriteResponse(w, nil, fault.New(fault.NotFound, "correct the path, or use the fulmartide tool of the same release as the daemon",
		"unknown operator API method: "+r.Method+" "+r.URL.Path))
}
