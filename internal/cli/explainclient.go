package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/explain"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/operator/api"
)

// maxExplanationBytes bounds the size of a response: 512 endpoints take under 512 KiB.
const maxExplanationBytes = 4 << 20

// getExplanation asks the VM with a metrics address. Its error wraps api.ErrUnreachable if the VM did not answer.
func getExplanation(ctx context.Context, vm netip.AddrPort, q *explain.Query, timeout time.Duration) (*explain.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.String()+explain.Path+"?"+q.Values().Encode(), nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Malformed, "correct the arguments", "build the query")
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fault.Wrap(api.ErrUnreachable, fault.Unavailable, "check that --vm names the metrics address of a running VM", vm.String()+": "+err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	if err != nil {
		return nil, fault.Wrap(api.ErrUnreachable, fault.Unavailable, "repeat the command", vm.String()+": "+err.Error())
	}
	if resp.StatusCode != http.StatusOK {
		return nil, refusal(vm, resp.StatusCode, raw)
	}
	out := &explain.Response{}
	if err := json.Unmarshal(raw, out); err != nil {
		return nil, fault.Wrap(err, fault.Malformed, "use the fulmartide tool of the same release as the daemon", "decode response of "+vm.String())
	}
	return out, nil
}

// refusal returns the error of a response with another status than 200, whose body is text.
func refusal(vm netip.AddrPort, status int, body []byte) error {
	kind, message := fault.Malformed, strings.TrimSpace(string(body[:min(len(body), 512)]))
	switch status {
	case http.StatusNotFound:
		kind = fault.NotFound
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind = fault.Unavailable
	}
	return fault.New(kind, "check that --vm names a metrics address, correct the call or repeat the command", vm.String()+": "+message)
}
