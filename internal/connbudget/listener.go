package connbudget

import "net"

// Listener accepts connections within a budget. Connections without room are closed.
type Listener struct {
	net.Listener
	budget *Budget
	name   string
}

// NewListener returns a listener whose connections are of type *Conn and have an account under a name.
func NewListener(ln net.Listener, b *Budget, name string) *Listener {
	return &Listener{Listener: ln, budget: b, name: name}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if a := l.budget.Open(l.name, func() bool { return nc.Close() == nil }); a != nil {
			return &Conn{Conn: nc, Account: a}, nil
		}
		_ = nc.Close() // the other side sees the end
	}
}

// Conn is a connection with an account, which is closed with it.
type Conn struct {
	net.Conn
	Account *Account
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.Account.Close()
	return c.Conn.Close()
}
