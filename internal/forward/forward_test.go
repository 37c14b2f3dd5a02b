package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/bodybuffer"
	"github.com/fulmartide/fulmartide/internal/connpool"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/tcpconn"
	"github.com/fulmartide/fulmartide/internal/traffic"
	"github.com/fulmartide/fulmartide/test/heldlistener"
)

var (
	testID   = traffic.EndpointID{Name: "e1", StartedAt: 7}
	errEnded = errors.New("the endpoint leaves")
)

// pair is a VM that sends requests through another one.
type pair struct {
	client *Client
	server *Server
	// receiver is the transport of the server, listener its listener.
	receiver *peer.Transport
	listener *heldlistener.Listener
	via      *traffic.Via
	pool     *connpool.Pool
	start    func(traffic.EndpointID) error
}

func newPair(t testing.TB, endpoint http.Handler) *pair {
	p := newHeldPair(t, endpoint)
	p.listener.Release()
	return p
}

// newHeldPair returns a pair whose second VM accepts no connections before its listener is released.
func newHeldPair(t testing.TB, endpoint http.Handler) *pair {
	s := httptest.NewServer(endpoint)
	t.Cleanup(s.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	p := &pair{pool: connpool.New(nil), start: func(traffic.EndpointID) error { return nil }}
	t.Cleanup(p.pool.Close)
	ln, err := heldlistener.Listen()
	if err != nil {
		t.Fatal(err)
	}
	receiver := peer.New(peer.Options{Self: ident.VM{Name: "receiver", Incarnation: 1}})
	p.server = NewServer(receiver, ServerOptions{
		Start: func(id traffic.EndpointID, _ bool) (traffic.Endpoint, error) {
			return traffic.Endpoint{ID: id, Address: address}, p.start(id)
		},
		Send: func(ctx context.Context, e traffic.Endpoint, r *connpool.Request) (*connpool.Response, error) {
			r.Target = connpool.Target{Address: e.Address, Instance: e.ID.Name}
			return p.pool.Do(ctx, r)
		},
		Bodies: bodybuffer.NewBudget(1<<20, metrics.NewSet()), Log: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	go func() { _ = receiver.Serve(ln) }()
	sender := peer.New(peer.Options{Self: ident.VM{Name: "sender", Incarnation: 1}})
	t.Cleanup(receiver.Close)
	t.Cleanup(ln.Release)
	t.Cleanup(sender.Close)
	p.client, p.receiver, p.listener = &Client{Opener: sender}, receiver, ln
	p.via = &traffic.Via{VM: "receiver", Address: ln.AddrPort()}
	return p
}

func testRequest(body []byte) *connpool.Request {
	return &connpool.Request{Method: http.MethodPost, URI: "/x//y?z=%2f", Host: "h", Header: http.Header{"X-Own": {"1", "2"}}, Body: body}
}

func TestRequestsAndResponsesAreForwardedUnchanged(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789"), 20_000)
	for _, tc := range []struct {
		name string
		body []byte
	}{{"no body", nil}, {"empty body", []byte{}}, {"long body", long}} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPair(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				if r.RequestURI != "/x//y?z=%2f" || r.Host != "h" || strings.Join(r.Header["X-Own"], ",") != "1,2" || !bytes.Equal(body, tc.body) {
					t.Errorf("the endpoint received %s, host %s, headers %v and %d bytes", r.RequestURI, r.Host, r.Header, len(body))
				}
				if sized := r.Header.Get("Content-Length") != "" || r.ContentLength > 0; sized != (tc.body != nil) {
					t.Errorf("the endpoint received a request of length %d", r.ContentLength)
				}
				w.Header().Set("X-Reply", "a")
				w.WriteHeader(http.StatusTeapot)
				_, _ = w.Write(long)
			}))
			resp, err := p.client.Do(t.Context(), p.via, testID, testRequest(tc.body))
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil || resp.Status != http.StatusTeapot || resp.Header.Get("X-Reply") != "a" || !resp.Delimited || !bytes.Equal(got, long) {
				t.Errorf("got status %d, headers %v, %d bytes, error %v", resp.Status, resp.Header, len(got), err)
			}
		})
	}
}

// TestFailuresSayWhetherTheRequestWasSent checks that a request which did not reach the endpoint is reported so, and
// only such a one.
func TestFailuresSayWhetherTheRequestWasSent(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setUp func(p *pair)
		sent  bool
	}{
		{"the other VM is gone", func(p *pair) { p.via.Address = netip.MustParseAddrPort("127.0.0.1:1") }, false},
		{"the other VM may not send to the endpoint", func(p *pair) { p.start = func(traffic.EndpointID) error { return errEnded } }, false},
		{"the other VM sends too many already", func(p *pair) {
			for range maxConcurrent {
				p.server.slots <- struct{}{}
			}
		}, false},
		{"the other VM is being stopped", func(p *pair) { p.server.Shutdown(context.Background()) }, false},
		{"the endpoint breaks off before its response", func(*pair) {}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPair(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
			tc.setUp(p)
			_, err := p.client.Do(t.Context(), p.via, testID, testRequest([]byte("x")))
			if err == nil || connpool.MayHaveSent(err) != tc.sent {
				t.Errorf("error %v, sent: %v, want %v", err, connpool.MayHaveSent(err), tc.sent)
			}
		})
	}
}

// TestStopWaitsForRequestsOfOtherVMs checks that a response which has begun arrives whole when the VM that sends the
// request is stopped meanwhile.
func TestStopWaitsForRequestsOfOtherVMs(t *testing.T) {
	goOn := make(chan struct{})
	p := newPair(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first, ")
		_ = http.NewResponseController(w).Flush()
		<-goOn
		_, _ = io.WriteString(w, "last")
	}))
	resp, err := p.client.Do(t.Context(), p.via, testID, testRequest(nil))
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		p.server.Shutdown(t.Context())
		close(stopped)
	}()
	for p.server.Room() > 0 {
		continue
	}
	select {
	case <-stopped:
		t.Error("the VM stopped during a request of another VM")
	default:
	}
	close(goOn)
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != "first, last" {
		t.Errorf("got %q, error %v", got, err)
	}
	_ = resp.Body.Close()
	<-stopped
}

// endingVM is a VM that ends at some time after it has accepted a stream: it reads up to reads bytes of the request.
type endingVM struct{ reads int }

func (v endingVM) OpenStream(context.Context, netip.AddrPort, peer.Kind) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		_, _ = io.CopyN(io.Discard, far, int64(v.reads))
		_ = far.Close()
	}()
	return near, nil
}

// TestRequestIsUnsentOnlyWithoutItsEnd checks that a request counts as not sent if the other VM ended before it had all of
// it, and as possibly sent afterwards: it may have sent it on.
func TestRequestIsUnsentOnlyWithoutItsEnd(t *testing.T) {
	r := testRequest([]byte("body"))
	var whole bytes.Buffer
	_, _ = exchange(&whole, strings.NewReader(""), &traffic.Via{}, testID, r)
	for reads := range whole.Len() + 1 {
		c := Client{Opener: endingVM{reads}}
		_, err := c.Do(t.Context(), &traffic.Via{}, testID, r)
		if sent := reads == whole.Len(); err == nil || connpool.MayHaveSent(err) != sent {
			t.Errorf("after %d of %d bytes: error %v, may have been sent: %v", reads, whole.Len(), err, connpool.MayHaveSent(err))
		}
	}
}

func TestRequestThatWasGivenUpIsNotSent(t *testing.T) {
	p := newPair(t, http.NotFoundHandler())
	p.start = func(traffic.EndpointID) error {
		t.Error("the request was about to be sent")
		return errEnded
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	out, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	in, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_, _ = exchange(out, strings.NewReader(""), &traffic.Via{}, testID, testRequest(nil))
	_ = out.Close()
	for !tcpconn.Readable(in) {
		continue
	}
	p.server.serve(t.Context(), ident.VM{}, in)
	_ = errors.Join(in.Close(), ln.Close())
}

func TestBrokenOffResponseIsNotWhole(t *testing.T) {
	p := newPair(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	resp, err := p.client.Do(t.Context(), p.via, testID, testRequest(nil))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if got, err := io.ReadAll(resp.Body); err == nil || string(got) != "part" {
		t.Errorf("got %q, error %v", got, err)
	}
}

func TestCallerThatLeavesEndsTheRequestAtTheEndpoint(t *testing.T) {
	for _, started := range []bool{false, true} {
		ended, began := make(chan struct{}), make(chan struct{})
		p := newPair(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if started {
				_, _ = io.WriteString(w, "x")
				_ = http.NewResponseController(w).Flush()
			}
			close(began)
			<-r.Context().Done()
			close(ended)
		}))
		ctx, leave := context.WithCancel(t.Context())
		go func() {
			<-began
			leave()
		}()
		resp, err := p.client.Do(ctx, p.via, testID, testRequest(nil))
		switch {
		case err == nil:
			_, _ = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		case !errors.Is(err, context.Canceled):
			t.Errorf("error %v", err)
		}
		<-ended
	}
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	for name, raw := range map[string]string{
		"header beyond the maximum size": "\xff\xff\xff\xff",
		"header that ends early":         "\x00\x00\x00\x10abc",
		"no message":                     "\x00\x00\x00\x03abc",
		"list that claims a huge length": "\x00\x00\x00\x05\xdd\xff\xff\xff\xff",
	} {
		var h requestHeader
		if err := readMessage(strings.NewReader(raw), &h); err == nil {
			t.Errorf("%s: accepted as %+v", name, h)
		}
	}
	for name, raw := range map[string]string{
		"piece beyond the maximum size": "\x00\xff\xff\xff",
		"no end":                        "\x00\x00\x00\x01a",
		"piece that ends early":         "\x00\x00\x00\x02a",
		"broken off":                    "\x00\x00\x00\x01a\xff\xff\xff\xff",
	} {
		if got, err := io.ReadAll(&bodyReader{r: strings.NewReader(raw)}); err == nil {
			t.Errorf("%s: the body %q counts as whole", name, got)
		}
	}
}

// FuzzMessages decodes arbitrary bytes as what another VM sends: a request, its outcome and the body of a response.
func FuzzMessages(f *testing.F) {
	var whole bytes.Buffer
	if err := errors.Join(writeMessage(&whole, &requestHeader{Endpoint: testID, Method: "GET"}), writeBody(&whole, strings.NewReader("x"))); err != nil {
		f.Fatal(err)
	}
	f.Add(whole.Bytes())
	f.Add([]byte("\x00\x00\x00\x05\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := bytes.NewReader(raw)
		if err := readMessage(r, &requestHeader{}); err != nil {
			_ = readMessage(bytes.NewReader(raw), &outcome{})
			return
		}
		if got, err := io.ReadAll(&bodyReader{r: r}); err == nil && len(got) > len(raw) {
			t.Errorf("a body of %d bytes came out of %d", len(got), len(raw))
		}
	})
}

// BenchmarkRequest compares a request over a connection of this VM with one through another VM.
func BenchmarkRequest(b *testing.B) {
	p := newPair(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "answer")
	}))
	body := make([]byte, 5<<10)
	for name, do := range map[string]func() (io.ReadCloser, error){
		"direct": func() (io.ReadCloser, error) {
			endpoint, _ := p.server.opts.Start(testID, false)
			return p.server.opts.Send(b.Context(), endpoint, testRequest(body))
		},
		"forwarded": func() (io.ReadCloser, error) {
			resp, err := p.client.Do(b.Context(), p.via, testID, testRequest(body))
			if err != nil {
				return nil, err
			}
			return resp.Body, nil
		},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				resp, err := do()
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp)
				_ = resp.Close()
			}
		})
	}
}
