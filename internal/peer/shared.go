package peer

import (
	"net/netip"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// A transport with an advertised address names it in the first frame of each connection that it
// dials. The other side then sends on that connection as well, instead of dialing one of its own: in a
// large fleet this halves the connections, and frequent messages in both directions need no pings.

// hello is the body of the first frame of a connection.
type hello struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Address is where the sender accepts connections, invalid if it does not advertise one.
	Address netip.AddrPort
}

// newHello returns the first frame of a connection.
func (t *Transport) newHello() *frame {
	body, err := marshal(&hello{Address: t.opts.Advertise})
	if err != nil {
		t.opts.Log.Error("could not encode the advertised address; connections are not shared", zap.Error(err))
		body = nil
	}
	return &frame{Type: frameHello, From: &t.opts.Self, Body: body}
}

// receiveHello records who the other side of an accepted connection is, and uses the connection for
// messages to it.
func (c *conn) receiveHello(f *frame) {
	if f.From == nil {
		return
	}
	c.mu.Lock()
	c.remote = *f.From
	c.mu.Unlock()
	var h hello
	if err := codec.Unmarshal(f.Body, &h); err != nil {
		c.t.refused(reasonHello)
		if c.t.helloLog.due() {
			c.t.opts.Log.Warn("first frame of a peer connection not decoded; the connection is not shared", zap.Stringer("vm", *f.From), zap.Error(err))
		}
		return
	}
	if !h.Address.IsValid() || c.dialed {
		return
	}
	if replaced := c.t.share(c, h.Address, *f.From); replaced != nil {
		replaced.close(errReplaced)
	}
}

// share uses an accepted connection for messages to addr, unless there is one already. It replaces one to
// an earlier incarnation of the VM, and returns that to be closed.
func (t *Transport) share(c *conn, addr netip.AddrPort, from ident.VM) (replaced *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	existing := t.conns[addr]
	if existing != nil {
		// If two VMs dial each other at the same time, each one keeps its own connection. What it has
		// dialed may not have been answered by a first frame yet.
		if remote := existing.remoteVM(); remote.IsZero() || remote == from {
			return nil
		}
	}
	c.addr = addr
	t.conns[addr] = c
	return existing
}

func (c *conn) remoteVM() ident.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remote
}
