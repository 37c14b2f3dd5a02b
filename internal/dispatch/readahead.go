package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/bodybuffer"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

const (
	// slowWriteTime is how long a write to the caller may take until the response is read ahead of it. An endpoint cuts
	// off a response that stays unread for some seconds.
	slowWriteTime = 200 * time.Millisecond
	// callerTimeout is how long a caller may leave a write unread.
	callerTimeout = 10 * time.Second
	// fullTimeout is how long the memory for a slow caller may be full. It is shorter than the time after which endpoints
	// cut off a response.
	fullTimeout = 2 * time.Second
	// roomCheckPeriod is the time between two checks whether other callers have returned memory.
	roomCheckPeriod = 50 * time.Millisecond
	// maxAheadBytes is how much of one response is read ahead at most.
	maxAheadBytes = 256 << 10
	// pieceOverhead is the memory that a piece takes besides its bytes.
	pieceOverhead = 64
)

// Errors of streams that are ended because of their caller.
var (
	errCallerNotReading = errors.New("the caller has not read for too long")
	errReadPanicked     = errors.New("reading the response failed unexpectedly")
	errAheadFull        = errors.New("the memory for what the caller has not read stays full")
)

// aborter is a Sink that can make a blocked WriteData fail. Responses are read ahead only for such sinks.
type aborter interface{ Abort() }

// readAhead reads the body of a response while the same goroutine writes it to the caller. Reads go straight to the body
// until a write takes long; from then on a goroutine of its own reads into memory, and reads take from there.
type readAhead struct {
	call   *inflightCall
	body   io.Reader
	stall  *stallTimer
	claim  *schedule.Claim
	cancel context.CancelCauseFunc
	sink   aborter
	timer  *time.Timer

	mu      sync.Mutex
	arrived sync.Cond
	// writing is set during a write, ahead once the body is read by a goroutine of its own, closed at the end.
	writing, ahead, closed bool
	// slowAt is when the write counts as slow. A timer of an earlier write may still expire before.
	slowAt time.Time
	pieces [][]byte
	held   int
	// err is the end of the body and errAt when it came, ended why the stream was ended.
	err, ended error
	errAt      clock.Instant
	// room signals that memory was returned or the reader closed, done that the goroutine has ended.
	room, done chan struct{}
}

// newReadAhead returns a reader of a response. cancel aborts the request to the claim's endpoint.
func (f *inflightCall) newReadAhead(body io.Reader, stall *stallTimer, claim *schedule.Claim, cancel context.CancelCauseFunc) *readAhead {
	if stall != nil {
		body = &stalledBody{body, stall}
	}
	r := &readAhead{call: f, body: body, stall: stall, claim: claim, cancel: cancel}
	r.sink, _ = f.sink.(aborter)
	r.arrived.L = &r.mu
	f.noteReceived()
	return r
}

// Read reads the body. It must not be called during a write.
func (r *readAhead) Read(p []byte) (int, error) {
	r.mu.Lock()
	ahead := r.ahead // changes only during a write
	r.mu.Unlock()
	if !ahead {
		return r.readFromBody(p)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pieces) == 0 && r.err == nil && r.ended == nil {
		r.arrived.Wait()
	}
	switch {
	case r.ended != nil:
		return 0, callerWriteError(r.ended)
	case len(r.pieces) == 0:
		return 0, r.err
	}
	n := copy(p, r.pieces[0])
	if r.pieces[0] = r.pieces[0][n:]; len(r.pieces[0]) == 0 {
		r.pieces = r.pieces[1:]
		r.giveBack(n + pieceOverhead)
	} else {
		r.giveBack(n)
	}
	return n, nil
}

// readFromBody reads what the endpoint has sent.
func (r *readAhead) readFromBody(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 {
		r.call.noteReceived()
	}
	return n, err
}

func (r *readAhead) giveBack(n int) {
	r.held -= n
	r.budget().Return(n)
	select {
	case r.room <- struct{}{}:
	default:
	}
}

func (r *readAhead) budget() *bodybuffer.Budget { return r.call.dispatcher.slowCallers }

// endedAt returns when the end of the body came, now if it was not read ahead.
func (r *readAhead) endedAt() clock.Instant {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.errAt > 0 {
		return r.errAt
	}
	return r.call.dispatcher.opts.Clock.Now()
}

// write writes to the caller.
func (r *readAhead) write(p []byte) error {
	if r.sink == nil {
		return r.call.sink.WriteData(p)
	}
	r.mu.Lock()
	r.writing = true
	limit := slowWriteTime
	if r.ahead {
		limit = callerTimeout
	}
	r.slowAt = time.Now().Add(limit)
	if r.timer == nil {
		r.timer = time.AfterFunc(limit, r.writeIsSlow)
	} else {
		r.timer.Reset(limit)
	}
	r.mu.Unlock()
	err := r.call.sink.WriteData(p)
	r.timer.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
	if r.ended != nil {
		return r.ended
	}
	return err
}

// writeIsSlow begins to read ahead of a write that takes long, or ends the stream if that has happened before.
func (r *readAhead) writeIsSlow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.writing || r.closed || time.Now().Before(r.slowAt):
	case r.ahead:
		r.end(errCallerNotReading)
	default:
		r.ahead, r.room, r.done = true, make(chan struct{}, 1), make(chan struct{})
		r.slowAt = time.Now().Add(callerTimeout - slowWriteTime)
		r.timer.Reset(callerTimeout - slowWriteTime)
		r.call.dispatcher.opts.Metrics.GetOrCreateCounter(`fulmartide_slow_callers_total`).Inc()
		go r.readBody()
	}
}

// end ends the stream, so that the caller sees that it is truncated. The caller must hold r.mu.
func (r *readAhead) end(why error) {
	if r.ended != nil || r.closed {
		return
	}
	r.ended = why
	r.call.dispatcher.opts.Metrics.GetOrCreateCounter(`fulmartide_slow_caller_streams_ended_total`).Inc()
	r.call.log.Warn("stream of a slow caller ended", zap.Int("held", r.held), zap.Int64("held_in_all", r.budget().Used()), zap.Error(why))
	r.sink.Abort()
	r.arrived.Broadcast()
}

// readBody reads the body into memory until it ends.
func (r *readAhead) readBody() {
	defer close(r.done)
	defer r.recoverPanic()
	buf := make([]byte, readBufferBytes)
	for {
		n, err := r.readFromBody(buf)
		r.stall.pause() // while there is no room
		if n > 0 && !r.store(buf[:n]) {
			return
		}
		if err != nil {
			r.mu.Lock()
			r.err, r.errAt = err, r.call.dispatcher.opts.Clock.Now()
			r.arrived.Broadcast()
			r.mu.Unlock()
			if r.claim != nil {
				r.claim.Release() // the endpoint is done, while the caller may take long to read the rest
			}
			return
		}
		r.stall.resume()
	}
}

// recoverPanic recovers a panic while the body was read, which ends the response and not the process.
func (r *readAhead) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	r.call.log.Error("reading a response panicked", zap.String("panic", fmt.Sprint(cause)), zap.ByteString("stack", debug.Stack()))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err, r.errAt = errReadPanicked, r.call.dispatcher.opts.Clock.Now()
	r.arrived.Broadcast()
}

// store keeps a copy of p. It waits for room if there is none, and reports whether the stream goes on.
func (r *readAhead) store(p []byte) bool {
	size := len(p) + pieceOverhead
	var expired <-chan time.Time
	for {
		r.mu.Lock()
		if r.closed || r.ended != nil {
			r.mu.Unlock()
			return false
		}
		if r.held+size <= maxAheadBytes && r.budget().Take(size) {
			r.held += size
			r.pieces = append(r.pieces, append([]byte(nil), p...))
			r.arrived.Broadcast()
			r.mu.Unlock()
			return true
		}
		r.mu.Unlock()
		if expired == nil {
			expired = time.After(fullTimeout)
		}
		select {
		case <-r.room:
		case <-time.After(roomCheckPeriod):
		case <-expired:
			r.mu.Lock()
			r.end(errAheadFull)
			r.mu.Unlock()
			return false
		}
	}
}

// close ends the reading and returns the memory. It aborts the request if its response was not read to the end.
func (r *readAhead) close() {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.mu.Lock()
	r.closed = true
	ahead := r.ahead
	if ahead {
		select {
		case r.room <- struct{}{}:
		default:
		}
	}
	r.mu.Unlock()
	if !ahead {
		return
	}
	select {
	case <-r.done:
	default:
		r.cancel(errCallerNotReading)
		<-r.done
	}
	r.budget().Return(r.held)
	r.held, r.pieces = 0, nil
}
