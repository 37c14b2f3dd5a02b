package callerconn

import (
	"bufio"
	"io"
	"net/http"
	"testing"
)

// TestPanicOfAHandlerIsAnswered guards against requests without an answer because of an unexpected error in their handler.
func TestPanicOfAHandlerIsAnswered(t *testing.T) {
	l := listenTCP(t)
	s := serve(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/begun" {
			w.Header().Set("Content-Length", "4")
			_, _ = io.WriteString(w, "ab")
			_ = http.NewResponseController(w).Flush()
		}
		panic("test")
	})}, l)
	for path, begun := range map[string]bool{"/": false, "/begun": true} {
		c := dialTCP(t, l)
		if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("%s got no answer: %v", path, err)
			continue
		}
		_, err = io.ReadAll(resp.Body)
		if (err != nil) != begun || begun != (resp.StatusCode == http.StatusOK) {
			t.Errorf("%s: status %d, error %v", path, resp.StatusCode, err)
		}
	}
	_ = s.Close()
}
