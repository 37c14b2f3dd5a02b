package forward

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/fulmartide/fulmartide/test/faultproxy"
)

// TestStreamIsNotCompleteWhenItsLinkEnds guards against streams through another VM that look complete because that VM, or the link to it, has
// ended between two events.
func TestStreamIsNotCompleteWhenItsLinkEnds(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	for name, delimited := range map[string]bool{"in chunks": true, "that ends with its connection": false} {
		for cause, end := range map[string]func(*pair, *faultproxy.Proxy){
			"link": func(_ *pair, link *faultproxy.Proxy) { link.CloseConnections() },
			"VM":   func(p *pair, _ *faultproxy.Proxy) { p.receiver.Close() },
			"both": func(p *pair, link *faultproxy.Proxy) { link.CloseConnections(); p.receiver.Close() },
		} {
			t.Run(cause+", stream "+name, func(t *testing.T) {
				t.Parallel()
				done := make(chan struct{})
				p := newPair(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if !delimited {
						conn, _, err := http.NewResponseController(w).Hijack()
						if err != nil {
							t.Error(err)
							return
						}
						defer func() { _ = conn.Close() }()
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+event)
						<-done
						return
					}
					_, _ = io.WriteString(w, event)
					_ = http.NewResponseController(w).Flush()
					select {
					case <-done:
					case <-r.Context().Done():
					}
				}))
				link, err := faultproxy.Listen(p.via.Address)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(link.Close)
				t.Cleanup(func() { close(done) }) // before the endpoint is closed, which waits for its handlers
				p.via.Address = link.Addr()
				resp, err := p.client.Do(t.Context(), p.via, testID, testRequest(nil))
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = resp.Body.Close() }()
				body := bufio.NewReader(resp.Body)
				first := make([]byte, len(event))
				if _, err := io.ReadFull(body, first); err != nil || string(first) != event {
					t.Fatalf("got %q, error %v", first, err)
				}
				end(p, link)
				if rest, err := body.Peek(1); err == nil || errors.Is(err, io.EOF) {
					t.Errorf("the stream goes on with %q, error %v", rest, err)
				}
			})
		}
	}
}
