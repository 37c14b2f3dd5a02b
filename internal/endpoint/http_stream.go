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
	errSilent        = errors.New("endpoint was silent for too long")
	errClosed        = errors.New("stream is closed")
	errFrameTooLarge = errors.New("frame is over the limit")
	errAnswerTooLong = errors.New("answer is over the limit")
)

// lineStream reads the lines of one answer. Every wait in it ends by the caller's context or
// after SilenceLimit without a byte; either breaks the stream.
type lineStream struct {
	engine *httpEngine
	cancel context.CancelCauseFunc
	ctx    context.Context
	body   io.ReadCloser
	reader *bufio.Reader
	sent   atomic.Bool
}

// open sends a request and waits for the head of a 200 answer.
func (e *httpEngine) open(ctx context.Context, method, path string, query url.Values, body any) (*lineStream, error) {
	raw, err := encodeBody(body)
	if err != nil {
		return nil, err
	}
	streamCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	s := &lineStream{engine: e, cancel: cancel, ctx: streamCtx}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { s.sent.Store(true) }}
	u := url.URL{Scheme: "http", Host: e.addr, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(streamCtx, trace), method, u.String(), bytes.NewReader(raw))
	if err != nil {
		cancel(nil)
		return nil, fault.Wrap(err, fault.Malformed, "correct the endpoint's address", "endpoint call")
	}
	req.Header.Set("Content-Type", contentTypeJSON)
	req.Header.Set("User-Agent", e.dialer.userAgent)
	var resp *http.Response
	err = s.wait(ctx, SilenceLimit+budgetOf(path), func() error {
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
		return nil, s.refused(ctx, resp)
	}
	s.body = resp.Body
	s.reader = bufio.NewReaderSize(resp.Body, maxFrameBytes)
	return s, nil
}

// refused types an answer that is not 200.
func (s *lineStream) refused(ctx context.Context, resp *http.Response) error {
	var raw []byte
	_ = s.wait(ctx, SilenceLimit, func() error {
		var err error
		raw, err = io.ReadAll(io.LimitReader(resp.Body, maxFrameBytes))
		return err
	})
	return statusFault(resp.StatusCode, raw)
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	raw, err := json.Marshal(body)
	return raw, fault.Wrap(err, fault.Internal, "report this", "encode endpoint call")
}

// budgetOf gives the time that an engine may hold back the head of its answer by design.
func budgetOf(path string) time.Duration {
	if path == pathEvents {
		return EventsLimit
	}
	return 0
}

// wait runs one blocking step, broken off after limit or when ctx ends.
func (s *lineStream) wait(ctx context.Context, limit time.Duration, step func() error) error {
	silence := time.AfterFunc(limit, func() { s.cancel(errSilent) })
	stop := context.AfterFunc(ctx, func() { s.cancel(ctx.Err()) })
	err := step()
	silence.Stop()
	stop()
	if err == nil {
		return nil
	}
	return s.stepFault(err)
}

func (s *lineStream) stepFault(err error) error {
	run := fault.WithRun(fault.NotRun)
	if s.sent.Load() {
		run = fault.WithRun(fault.RunUnknown)
	}
	cause := context.Cause(s.ctx)
	switch {
	case errors.Is(cause, errSilent):
		s.engine.dialer.conns.closeQuiet(s.engine.addr, SilenceLimit)
		return fault.Wrap(cause, fault.Unavailable, remedyUseOther, "endpoint "+s.engine.addr, run)
	case errors.Is(cause, context.DeadlineExceeded):
		return fault.Wrap(cause, fault.Timeout, "allow more time, or use another endpoint", "endpoint "+s.engine.addr, run)
	case cause != nil:
		return fault.Wrap(cause, fault.Cancelled, "send the request again", "endpoint "+s.engine.addr, run)
	case errors.Is(err, errFrameTooLarge), errors.Is(err, errAnswerTooLong):
		return fault.Wrap(err, fault.TooLarge, remedyCheckEndpoint, "endpoint "+s.engine.addr, run)
	default:
		return fault.Wrap(err, fault.Unavailable, remedyUseOther, "endpoint "+s.engine.addr, run)
	}
}

// next gives the next line that is not blank. The slice is valid until the next call.
func (s *lineStream) next(ctx context.Context) ([]byte, error) {
	var line []byte
	for {
		err := s.wait(ctx, SilenceLimit, func() error {
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

// readLine gives one line without its end. A last line without an end counts as cut off.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, errFrameTooLarge
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	}
	return bytes.TrimSpace(line), nil
}

// all gives the whole rest of the answer.
func (s *lineStream) all(ctx context.Context) ([]byte, error) {
	var raw []byte
	err := s.wait(ctx, SilenceLimit, func() error {
		var err error
		raw, err = io.ReadAll(io.LimitReader(s.reader, maxAnswerBytes+1))
		if err == nil && len(raw) > maxAnswerBytes {
			err = errAnswerTooLong
		}
		return err
	})
	return raw, err
}

// Close drops the answer and its connection.
func (s *lineStream) Close() {
	s.cancel(errClosed)
	s.body.Close()
}

// httpStream is a decode stream.
type httpStream struct{ lines *lineStream }

var _ Stream = (*httpStream)(nil)

// Next implements Stream. Once ctx ends during a call the stream is broken.
func (s *httpStream) Next(ctx context.Context) (Frame, error) {
	for {
		raw, err := s.lines.next(ctx)
		if err != nil {
			return Frame{}, err
		}
		f, err := decodeFrame(raw)
		if err != nil {
			return Frame{}, err
		}
		if !f.heartbeat() {
			return f, nil
		}
	}
}

// Close implements Stream.
func (s *httpStream) Close() { s.lines.Close() }

// heartbeat reports whether f only shows that the engine is at work.
func (f Frame) heartbeat() bool { return !f.Started && !f.Done && f.Text == "" }

// frameLine is a frame, or the error that ends a stream.
type frameLine struct {
	Frame
	Error *fault.Detail `json:"error"`
}

// decodeFrame reads one line of a decode stream.
func decodeFrame(raw []byte) (Frame, error) {
	var l frameLine
	if err := json.Unmarshal(raw, &l); err != nil {
		return Frame{}, malformedAnswer(err)
	}
	if l.Error != nil {
		return Frame{}, refusal(*l.Error, fault.RunUnknown)
	}
	if l.Offset < 0 || l.Attempt.Request == "" {
		return Frame{}, malformedAnswer(nil)
	}
	return l.Frame, nil
}
