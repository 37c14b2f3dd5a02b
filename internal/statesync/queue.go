package statesync

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/fulmartide/fulmartide/internal/peer"
)

// sendQueue holds the messages to one VM while there is no open connection to it. Each queue has its
// own goroutine, so that an unreachable VM does not delay messages to others.
type sendQueue struct {
	messages chan peer.Broadcast
	stop     context.CancelFunc
	// sending is set while a message that was taken from the queue waits for the connection.
	sending atomic.Bool
}

// idle reports whether no message is waiting.
func (q *sendQueue) idle() bool { return len(q.messages) == 0 && !q.sending.Load() }

const (
	// sendQueueSize is the maximum number of messages queued for one VM. A full queue drops its
	// oldest message.
	sendQueueSize = 64
	// sendTimeout bounds the sending of one message, including the wait for a connection.
	sendTimeout = 600 * time.Millisecond
)

// queueTo returns the send queue of a VM and starts it if there is none. s.mu must be held.
func (s *Service) queueTo(addr netip.AddrPort) *sendQueue {
	q := s.queues[addr]
	if q == nil {
		ctx, stop := context.WithCancel(s.ctx)
		q = &sendQueue{messages: make(chan peer.Broadcast, sendQueueSize), stop: stop}
		s.queues[addr] = q
		s.wg.Go(func() { s.runQueue(ctx, addr, q) })
	}
	return q
}

// closeQueue stops the send queue of a VM that is gone. s.mu must be held.
func (s *Service) closeQueue(addr netip.AddrPort) {
	if q := s.queues[addr]; q != nil {
		q.stop()
		delete(s.queues, addr)
	}
}

func (q *sendQueue) push(m peer.Broadcast) {
	for {
		select {
		case q.messages <- m:
			return
		default:
		}
		select {
		case <-q.messages:
		default:
		}
	}
}

func (s *Service) runQueue(ctx context.Context, addr netip.AddrPort, q *sendQueue) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-q.messages:
			q.sending.Store(true)
			sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			// The error is ignored: later full heartbeats and digests repeat the state of a lost
			// message, each VM also detects failed endpoints itself, and the member table detects
			// unreachable VMs.
			_ = s.opts.Transport.SendBroadcast(sendCtx, addr, m)
			cancel()
			q.sending.Store(false)
		}
	}
}
