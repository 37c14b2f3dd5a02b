package callerconn

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestResponseThatIsCutDoesNotLookComplete guards against a cut response that callers with HTTP/1.0 take for a complete one, as it
// ends with its connection.
func TestResponseThatIsCutDoesNotLookComplete(t *testing.T) {
	l := listenTCP(t)
	cut := make(chan struct{})
	s := serve(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "whole")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/cut" {
			<-cut // the caller has read the beginning
			panic(http.ErrAbortHandler)
		}
	})}, l)
	defer func() { _ = s.Close() }()
	for _, path := range []string{"/", "/cut"} {
		c := dialTCP(t, l)
		if _, err := io.WriteString(c, "GET "+path+" HTTP/1.0\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		var got strings.Builder
		for buf := make([]byte, 1); !strings.HasSuffix(got.String(), "whole"); {
			if _, err := io.ReadFull(c, buf); err != nil {
				t.Fatal(err)
			}
			got.Write(buf)
		}
		if path == "/cut" {
			cut <- struct{}{}
		}
		if rest, err := io.ReadAll(c); (err != nil) != (path == "/cut") || len(rest) > 0 {
			t.Errorf("%s ends with %q, error %v", path, rest, err)
		}
	}
}
