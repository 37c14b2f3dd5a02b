package daemon

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"sync"
	"testing"
)

// TestStopAnswersHTTP2Requests guards against requests on connections of HTTP/2 that a stop cuts off.
func TestStopAnswersHTTP2Requests(t *testing.T) {
	d := newTestDaemon(t, true)
	d.settings.Stop.NoticeSeconds = 1
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- d.run(ctx) }()
	url := "https://" + d.listeners.callers.Addr().String() + "/v1/models"
	var callers, started sync.WaitGroup
	for range testCallers {
		transport := &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
		t.Cleanup(transport.CloseIdleConnections)
		started.Add(1)
		callers.Go(func() {
			for n := 0; ; n++ {
				resp, err := (&http.Client{Transport: transport}).Get(url)
				if n == 0 {
					started.Done()
				}
				if err != nil {
					t.Errorf("request %d got no answer: %v", n, err)
					return
				}
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if err != nil || resp.ProtoMajor != 2 {
					t.Errorf("request %d: HTTP/%d, %v", n, resp.ProtoMajor, err)
					return
				}
				if d.relay.IsStopping() {
					return
				}
			}
		})
	}
	started.Wait()
	stop()
	callers.Wait()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
