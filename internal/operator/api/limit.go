package api

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

const (
	// smallBodyBytes is the size up to which the body of a command is read whatever others are read. Only configurations are larger.
	smallBodyBytes = 16 << 10
	// maxLargeBodies is the maximum number of larger bodies that are held at a time, each of up to MaxBodyBytes.
	maxLargeBodies = 2
	// bodyTimeout is the maximum time in which a body must arrive.
	bodyTimeout = 10 * time.Second
	// maxConcurrentQueries is the maximum number of requests that a limited handler serves at a time, as each may ask all VMs.
	maxConcurrentQueries = 16
	// busyRetryAfter is how long a refused operator is asked to wait.
	busyRetryAfter = time.Second
)

var errBusy = fault.New(fault.Overloaded, "send the request again", "too many requests of operators at a time", fault.WithRetryAfter(busyRetryAfter))

// Limited serves up to maxConcurrent requests with h at a time and refuses further ones.
func Limited(h http.Handler, maxConcurrent int) http.Handler {
	slots := make(chan struct{}, maxConcurrent)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
		default:
			WriteResponse(w, nil, errBusy)
			return
		}
		defer func() { <-slots }()
		h.ServeHTTP(w, r)
	})
}

// LimitedQueries is Limited with the limit of queries.
func LimitedQueries(h http.Handler) http.Handler { return Limited(h, maxConcurrentQueries) }

// largeBodies has an element for each larger body that is held.
var largeBodies = make(chan struct{}, maxLargeBodies)

// readBody reads the body of a command. The function that it returns is to be called once the body is not needed any more.
func readBody(w http.ResponseWriter, r *http.Request) (raw []byte, release func(), err error) {
	release = func() {}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, release, err
	}
	// A deadline that passes while the command runs would cancel it.
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body := http.MaxBytesReader(w, r.Body, MaxBodyBytes)
	raw, err = io.ReadAll(io.LimitReader(body, smallBodyBytes))
	if err != nil || len(raw) < smallBodyBytes {
		return raw, release, err
	}
	select {
	case largeBodies <- struct{}{}:
	default:
		return nil, release, errBusy
	}
	release = func() { <-largeBodies }
	whole := bytes.NewBuffer(raw)
	_, err = whole.ReadFrom(body)
	return whole.Bytes(), release, err
}
