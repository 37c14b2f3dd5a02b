package exchange

import (
	"context"
	"net/netip"
	"time"

	"github.com/fulmartide/fulmartide/internal/peer"
)

// line sends messages to one VM in its own goroutine, so that a VM that cannot be reached
// holds up no other.
type line struct {
	queue chan message
	stop  context.CancelFunc
}

type message struct {
	kind peer.Kind
	body []byte
}

const (
	// lineBacklog is the most messages that wait for one VM; the oldest is dropped when it is
	// full, as heartbeats repeat all that counts.
	lineBacklog = 64
	// sendTimeout bounds the wait for a connection.
	sendTimeout = 600 * time.Millisecond
)

// lineTo gives the line to a VM and starts it if there is none. s.mu is held.
func (s *Service) lineTo(addr netip.AddrPort) *line {
	l := s.lines[addr]
	if l == nil {
		ctx, stop := context.WithCancel(s.ctx)
		l = &line{queue: make(chan message, lineBacklog), stop: stop}
		s.lines[addr] = l
		s.wg.Go(func() { s.send(ctx, addr, l) })
	}
	return l
}

// hangUp ends the line to a VM that is gone. s.mu is held.
func (s *Service) hangUp(addr netip.AddrPort) {
	if l := s.lines[addr]; l != nil {
		l.stop()
		delete(s.lines, addr)
	}
}

func (l *line) offer(kind peer.Kind, body []byte) {
	m := message{kind: kind, body: body}
	for {
		select {
		case l.queue <- m:
			return
		default:
		}
		select {
		case <-l.queue:
		default:
		}
	}
}

func (s *Service) send(ctx context.Context, addr netip.AddrPort, l *line) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.queue:
			sending, cancel := context.WithTimeout(ctx, sendTimeout)
			// A lost message is told again with the next heartbeat; the roster shows a VM that
			// cannot be reached.
			_ = s.opts.Transport.Send(sending, addr, m.kind, m.body)
			cancel()
		}
	}
}
