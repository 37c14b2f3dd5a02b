package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Conn is a client's channel, which it keeps for several requests.
type Conn struct {
	nc net.Conn
	br *bufio.Reader
}

// Dial opens a channel to a machine.
func Dial(addr string) (*Conn, error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{nc, bufio.NewReader(nc)}, nil
}

// Close closes the channel.
func (c *Conn) Close() { _ = c.nc.Close() }

// Answer is what a client got.
type Answer struct {
	Status    int
	ID        string
	Signature string
	Body      string
	Close     bool
}

// Do sends a request and reads its answer.
func (c *Conn) Do(method, host, path string, header map[string]string, body string, limit time.Duration) (Answer, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if err := c.nc.SetDeadline(time.Now().Add(limit)); err != nil {
		return Answer{}, err
	}
	if _, err := io.WriteString(c.nc, b.String()); err != nil {
		return Answer{}, err
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return Answer{}, err
	}
	raw, err := io.ReadAll(resp.Body)
	return Answer{resp.StatusCode, resp.Header.Get("Request-Attempt-Id"), resp.Header.Get("Response-Signature"), string(raw), resp.Close}, err
}
