package erratic

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Endpoint listens on a free port of 127.0.0.1.
type Endpoint struct {
	names    Names
	listener net.Listener
	wg       sync.WaitGroup

	mu sync.Mutex
	// next returns the behaviour for a request.
	next func(*http.Request) Behaviour
	// body returns the body of the answer to the request with an id.
	body func(id string) string
	runs map[string]int
	open map[net.Conn]bool
}

// Listen starts an Endpoint. next returns what it does with a request, body the body of the answer to a request with an
// id, which is sent with the given content type.
func Listen(names Names, next func(*http.Request) Behaviour, body func(id string) string) (*Endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{names: names, listener: ln, next: next, body: body, runs: map[string]int{}, open: map[net.Conn]bool{}}
	e.wg.Go(e.accept)
	return e, nil
}

// Addr returns the endpoint's address.
func (e *Endpoint) Addr() netip.AddrPort { return e.listener.Addr().(*net.TCPAddr).AddrPort() }

// Runs returns how often the endpoint has run the request with an id.
func (e *Endpoint) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// Close closes the listener and all connections, and waits for their end.
func (e *Endpoint) Close() {
	_ = e.listener.Close()
	e.CloseConnections()
	e.wg.Wait()
}

// CloseConnections closes all connections, as the end of the process does.
func (e *Endpoint) CloseConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.open {
		_ = c.Close()
	}
}

func (e *Endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.open[c] = true
		e.mu.Unlock()
		e.wg.Go(func() { e.serve(c) })
	}
}

func (e *Endpoint) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.open, c)
		e.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	late := "" // what is sent once the next request has been read
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		b := e.next(r)
		if !e.answer(c, r, b, late) {
			return
		}
		late = e.late(b)
	}
}

// late returns the additional answer that follows one of the behaviour, empty if there is none.
func (e *Endpoint) late(b Behaviour) string {
	switch b.Identity {
	case LateUnnamed:
		return e.head(Behaviour{Status: http.StatusOK}, "", len("late")) + "late"
	case LateRejection:
		return e.head(Behaviour{Status: http.StatusServiceUnavailable, Rejected: true}, "", 0)
	}
	return ""
}

// answer answers a request, after late, and reports whether the connection goes on.
func (e *Endpoint) answer(c net.Conn, r *http.Request, b Behaviour, late string) bool {
	id := r.Header.Get(e.names.AttemptID)
	out := writer{conn: c, piece: b.Piece}
	if b.Identity == Unsolicited {
		out.write(e.head(Behaviour{Status: 200}, "nobody", 2) + "no")
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	if !b.Rejected {
		e.mu.Lock()
		e.runs[id]++
		e.mu.Unlock()
	}
	out.write(late)
	switch b.Identity {
	case Unnamed:
		id = ""
	case Other:
		out.write(e.head(Behaviour{Status: 200}, "another", 7) + "another")
	case OnlyOther:
		id = "another"
	}
	text := b.Body
	if text == "" {
		text = e.body(r.Header.Get(e.names.AttemptID))
	}
	goesOn := e.send(&out, b, id, text)
	if goesOn && b.Identity == Twice {
		goesOn = e.send(&out, b, id, text)
	}
	return goesOn && out.err == nil
}

// maxHead is more than any client takes as the head of a response.
const maxHead = 80 << 10

// send sends one answer and reports whether the connection goes on.
func (e *Endpoint) send(out *writer, b Behaviour, id, body string) bool {
	switch b.Beginning {
	case Interim:
		out.write("HTTP/1.1 102 Processing\r\n\r\n")
	case ManyInterim:
		out.write(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100))
	case BeforeHead:
		return false
	case InHead:
		head := e.head(b, id, len(body))
		out.write(head[:len(head)/2])
		return false
	case LongHead:
		out.write("HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", maxHead))
		return false
	case NoHTTP:
		out.write(strings.Repeat("no answer\r\n", 100))
		return false
	}
	out.write(e.head(b, id, len(body)))
	cut := len(body)
	if b.cutsBody() {
		cut = int(b.Cut * float64(len(body)))
	}
	switch b.Framing {
	case Length, TwoLengths, LengthTooLong, LengthTooShort, ByClose, HTTP10:
		out.write(body[:cut])
	default:
		out.writeChunks(b, body[:cut])
	}
	switch {
	case b.Ending == Reset:
		time.Sleep(time.Millisecond) // for the client to read what was sent
		_ = out.conn.(*net.TCPConn).SetLinger(0)
		return false
	case b.Ending == Closed || b.Framing == ByClose || b.Framing == HTTP10 || b.Framing == LengthTooLong || b.Framing == HugeChunk:
		return false
	}
	return b.Identity != OnlyOther && b.Identity != Unnamed // a client that still waits is not kept waiting
}

// head returns the head of an answer.
func (e *Endpoint) head(b Behaviour, id string, length int) string {
	version := "1.1"
	if b.Framing == HTTP10 {
		version = "1.0"
	}
	head := fmt.Sprintf("HTTP/%s %d Status\r\n%s: signed\r\n", version, b.Status, e.names.Signature)
	if id != "" {
		head += e.names.AttemptID + ": " + id + "\r\n"
	}
	if b.Rejected {
		head += e.names.NotExecuted + ": 1\r\n"
	}
	for name, value := range b.Header {
		head += name + ": " + value + "\r\n"
	}
	lengths := map[Framing][]int{
		Length: {length}, LengthAndChunked: {length / 2}, TwoLengths: {length, length / 2},
		LengthTooLong: {length + 10}, LengthTooShort: {length / 2},
	}
	for _, n := range lengths[b.Framing] {
		head += "Content-Length: " + strconv.Itoa(n) + "\r\n"
	}
	switch b.Framing {
	case Chunked, LengthAndChunked, HugeChunk, LongExtension, LongTrailers:
		head += "Transfer-Encoding: chunked\r\n"
	}
	return head + "\r\n"
}

// writer writes to a connection in pieces, until an error.
type writer struct {
	conn  net.Conn
	piece int
	err   error
}

func (w *writer) write(s string) {
	for len(s) > 0 && w.err == nil {
		n := min(len(s), w.piece)
		_, w.err = io.WriteString(w.conn, s[:n])
		s = s[n:]
	}
}

func (w *writer) writeChunks(b Behaviour, body string) {
	extension := ""
	switch b.Framing {
	case HugeChunk:
		w.write("8000000000000000\r\n" + body)
		return
	case LongExtension:
		extension = ";x=" + strings.Repeat("x", maxHead)
	}
	half := len(body) / 2
	for _, part := range []string{body[:half], body[half:]} {
		if part != "" {
			w.write(strconv.FormatInt(int64(len(part)), 16) + extension + "\r\n" + part + "\r\n")
		}
	}
	if b.Ending == Closed || b.Ending == Reset {
		return
	}
	w.write("0\r\n")
	if b.Framing == LongTrailers {
		w.write(strings.Repeat("X-Trailer: x\r\n", maxHead/14))
	}
	w.write("\r\n")
}
