package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/tcpconn"
)

// StreamHandler serves a connection that another VM opened as a stream. It need not close it.
type StreamHandler func(ctx context.Context, from ident.VM, nc net.Conn)

// HandleStream registers the handler of a kind of stream. It must be called before Serve.
func (t *Transport) HandleStream(kind Kind, h StreamHandler) { t.streams[kind] = h }

// OpenStream opens a connection to addr that carries a stream instead of messages. Unlike messages, which share a
// connection, streams do not delay each other, and the receiver slows down the sender. The caller must close it.
func (t *Transport) OpenStream(ctx context.Context, addr netip.AddrPort, kind Kind) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	nc, err := t.dial(ctx, addr)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "check that the VM is running and its port is reachable", "dial "+addr.String())
	}
	raw, err := encodeFrame(&frame{Type: frameStream, Kind: kind, From: &t.opts.Self})
	if err == nil {
		err = nc.SetWriteDeadline(time.Now().Add(InactivityTimeout))
	}
	if err == nil {
		_, err = nc.Write(raw)
	}
	if err != nil {
		_ = nc.Close()
		return nil, fault.Wrap(err, fault.Unavailable, "use another VM", "open a stream to "+addr.String())
	}
	t.opts.CountFrame(true, kind, len(raw))
	return nc, nc.SetWriteDeadline(time.Time{})
}

func (t *Transport) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	netDialer := tcpconn.Dialer(DialTimeout)
	if t.opts.TLS != nil {
		dialer := tls.Dialer{NetDialer: &netDialer, Config: t.opts.TLS}
		return dialer.DialContext(ctx, "tcp", addr.String())
	}
	return netDialer.DialContext(ctx, "tcp", addr.String())
}

// serveStream runs the handler of a stream and closes its connection.
func (t *Transport) serveStream(nc net.Conn, first *frame) {
	defer t.forget(nc)
	h := t.streams[first.Kind]
	if h == nil || first.From == nil {
		t.refused(reasonStream)
		if t.streamLog.due() {
			t.opts.Log.Warn("stream of another vm refused", zap.Uint8("kind", uint8(first.Kind)), zap.Stringer("remote", nc.RemoteAddr()),
				zap.String("remedy", "run the same release on all VMs"))
		}
		return
	}
	defer t.recoverPanic(first.Kind, *first.From, nil)
	h(t.ctx, *first.From, nc)
}
