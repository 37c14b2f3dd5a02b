package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

var (
	errInactive         = errors.New("endpoint sent nothing within the inactivity timeout")
	errClosed           = errors.New("stream is closed")
	errLineTooLong      = errors.New("line exceeds the maximum length")
	errResponseTooLarge = errors.New("response exceeds the maximum size")
)

// lineReader reads a response line by line. Each blocking read is aborted when the caller's context
// ends or after InactivityTimeout, and the response cannot be read after that.
type lineReader struct {
	engine *httpEngine
	cancel context.CancelCauseFunc
	ctx    context.Context
	body   io.ReadCloser
	reader *bufio.Reader
	sent   atomic.Bool
}

// open sends a request and waits for the header of a response with status 200.
func (e *httpEngine) open(ctx context.Context, method, path string, query url.Values, body any) (*lineReader, error) {
	raw, err := encodeBody(body)
	if err != nil {
		return nil, err
	}
	streamCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	s := &lineReader{engine: e, cancel: cancel, ctx: streamCtx}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { s.sent.Store(true) }}
	u := url.URL{Scheme: "http", Host: e.addr, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(streamCtx, trace), method, u.String(), bytes.NewReader(raw))
	if err != nil {
		cancel(nil)
		return nil, fault.Wrap(err, fault.Malformed, "correct the endpoint's address", "create endpoint request")
	}
	req.Header.Set("Content-Type", contentTypeJSON)
	req.Header.Set("User-Agent", e.dialer.userAgent)
	var resp *http.Response
	err = s.wait(ctx, InactivityTimeout+headerDelay(path), func() error {
		resp, err = e.dialer.client.Do(req)
		return err
	})
	if err != nil {
		cancel(nil)
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel(nil)
		defer resp.Body.Close()
		return nil, s.responseError(ctx, resp)
	}
	s.body = resp.Body
	s.reader = bufio.NewReaderSize(resp.Body, maxLineBytes)
	return s, nil
}

// responseError converts a response with a status other than 200 to an error.
func (s *lineReader) responseError(ctx context.Context, resp *http.Response) error {
	var raw []byte
	_ = s.wait(ctx, InactivityTimeout, func() error {
		var err error
		raw, err = io.ReadAll(io.LimitReader(resp.Body, maxLineBytes))
		return err
	})
	return statusError(resp.StatusCode, raw)
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	raw, err := json.Marshal(body)
	return raw, fault.Wrap(err, fault.Internal, "report this", "encode endpoint request")
}

// headerDelay returns how long an engine may delay the response header by design.
func headerDelay(path string) time.Duration {
	if path == pathEvents {
		return EventsPollTimeout
	}
	return 0
}

// wait runs a blocking operation and aborts it after timeout or when ctx ends.
func (s *lineReader) wait(ctx context.Context, timeout time.Duration, op func() error) error {
	timer := time.AfterFunc(timeout, func() { s.cancel(errInactive) })
	stop := context.AfterFunc(ctx, func() { s.cancel(ctx.Err()) })
	err := op()
	timer.Stop()
	stop()
	if err == nil {
		return nil
	}
	return s.ioError(err)
}

// ioError converts the error of a failed or aborted operation to a fault, whose kind depends on the
// cause and which states whether the request may have been executed.
func (s *lineReader) ioError(err error) error {
	run := fault.WithExecution(fault.NotExecuted)
	if s.sent.Load() {
		run = fault.WithExecution(fault.ExecutionUnknown)
	}
	cause := context.Cause(s.ctx)
	switch {
	case errors.Is(cause, errInactive):
		s.engine.dialer.conns.closeInactive(s.engine.addr, InactivityTimeout)
		return fault.Wrap(cause, fault.Unavailable, remedyUseAnother, "endpoint "+s.engine.addr, run)
	case errors.Is(cause, context.DeadlineExceeded):
		return fault.Wrap(cause, fault.Timeout, "allow more time, or use another endpoint", "endpoint "+s.engine.addr, run)
	case cause != nil:
		return fault.Wrap(cause, fault.Cancelled, "send the request again", "endpoint "+s.engine.addr, run)
	case errors.Is(err, errLineTooLong), errors.Is(err, errResponseTooLarge):
		return fault.Wrap(err, fault.TooLarge, remedyCheckEndpoint, "endpoint "+s.engine.addr, run)
	default:
		return fault.Wrap(err, fault.Unavailable, remedyUseAnother, "endpoint "+s.engine.addr, run)
	}
}

// next returns the next line that is not blank. The slice is valid until the next call.
func (s *lineReader) next(ctx context.Context) ([]byte, error) {
	var line []byte
	for {
		err := s.wait(ctx, InactivityTimeout, func() error {
			var err error
			line, err = readLine(s.reader)
			return err
		})
		if err != nil {
			return nil, err
		}
		if len(line) > 0 {
			return line, nil
		}
	}
}

// readLine returns one line without surrounding white space. A last line without a newline is
// treated as truncated.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, errLineTooLong
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	}
	return bytes.TrimSpace(line), nil
}

// readAll returns the rest of the response.
func (s *lineReader) readAll(ctx context.Context) ([]byte, error) {
	var raw []byte
	err := s.wait(ctx, InactivityTimeout, func() error {
		var err error
		raw, err = io.ReadAll(io.LimitReader(s.reader, maxResponseBytes+1))
		if err == nil && len(raw) > maxResponseBytes {
			err = errResponseTooLarge
		}
		return err
	})
	return raw, err
}

// Close discards the rest of the response and closes its connection.
func (s *lineReader) Close() {
	s.cancel(errClosed)
	s.body.Close()
}

// httpStream implements Stream over HTTP.
type httpStream struct{ lines *lineReader }

var _ Stream = (*httpStream)(nil)

// Next implements Stream. If ctx ends during a call, the stream cannot be read any further.
func (s *httpStream) Next(ctx context.Context) (Frame, error) {
	for {
		raw, err := s.lines.next(ctx)
		if err != nil {
			return Frame{}, err
		}
		f, err := parseFrame(raw)
		if err != nil {
			return Frame{}, err
		}
		if !f.isHeartbeat() {
			return f, nil
		}
	}
}

// Close implements Stream.
func (s *httpStream) Close() { s.lines.Close() }

// isHeartbeat reports whether f only signals that the engine is working.
func (f Frame) isHeartbeat() bool { return !f.Started && !f.Done && f.Text == "" }

// frameLine is a frame or the error that ends a stream.
type frameLine struct {
	Frame
	Error *fault.Detail `json:"error"`
}

// parseFrame parses one line of a decode stream.
func parseFrame(raw []byte) (Frame, error) {
	var l frameLine
	if err := json.Unmarshal(raw, &l); err != nil {
		return Frame{}, malformedResponse(err)
	}
	if l.Error != nil {
		return Frame{}, engineError(*l.Error, fault.ExecutionUnknown)
	}
	if l.Offset < 0 || l.Attempt.RequestID == "" {
		return Frame{}, malformedResponse(nil)
	}
	return l.Frame, nil
}
