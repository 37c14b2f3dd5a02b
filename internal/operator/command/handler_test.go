package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/keys"
	"github.com/fulmartide/fulmartide/internal/operator/api"
	"github.com/fulmartide/fulmartide/internal/operator/command"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeServices implements command.Configuration and command.Keys. As its Configuration, it simulates
// another operator whose changes are accepted before each of the first Apply calls.
type fakeServices struct {
	snap      *configuration.Snapshot
	conflicts int
	attempts  int
}

func newFakeServices(conflicts int) *fakeServices {
	doc := configuration.Document{Endpoints: map[string]configuration.Endpoint{"d1": {Slots: 1}, "d2": {Slots: 1}}}
	return &fakeServices{snap: &configuration.Snapshot{Version: 1, Document: doc}, conflicts: conflicts}
}

func (r *fakeServices) Current() *configuration.Snapshot { return r.snap }

func (r *fakeServices) Apply(_ context.Context, doc configuration.Document, ifVersion configuration.Version) (configuration.Version, error) {
	r.attempts++
	if r.conflicts > 0 {
		r.conflicts--
		other := configuration.Document{Endpoints: map[string]configuration.Endpoint{"d1": {Slots: 1 + r.attempts}, "d2": {Slots: 1}}}
		r.snap = &configuration.Snapshot{Version: r.snap.Version + 1, Document: other}
		return 0, fault.New(fault.Conflict, "read again", "another change came first")
	}
	if ifVersion != r.snap.Version {
		return 0, fault.New(fault.Conflict, "read again", "another change came first")
	}
	r.snap = &configuration.Snapshot{Version: ifVersion + 1, Document: doc}
	return r.snap.Version, nil
}

func (*fakeServices) Create(context.Context, string) (id, secret string, err error) {
	return "K1", "S3CRET", nil
}

func (*fakeServices) Withdraw(context.Context, string) (keys.Withdrawal, error) {
	return keys.Withdrawal{}, nil
}

func post(t *testing.T, h http.Handler, path, body string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

func TestDrainPreservesConcurrentChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeServices(3)
		before := r.snap.Document.Endpoints
		code, body := post(t, command.NewHandler(command.Deps{Configuration: r, Keys: r}), api.PathDrain, `{"endpoint":"d1"}`)
		if code != http.StatusOK || !strings.Contains(body, `"version":5`) {
			t.Fatal(code, body)
		}
		d1 := r.snap.Document.Endpoints["d1"]
		if !d1.Leaving || d1.Slots != 4 || r.snap.Document.Endpoints["d2"].Leaving || before["d1"].Leaving {
			t.Fatalf("endpoints after drain: %+v, before: %+v", r.snap.Document.Endpoints, before)
		}
	})
}

func TestDrainFailsAfterRepeatedConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeServices(1000)
		code, body := post(t, command.NewHandler(command.Deps{Configuration: r, Keys: r}), api.PathDrain, `{"endpoint":"d1"}`)
		if code != http.StatusConflict || r.attempts < 2 || r.attempts > 10 {
			t.Fatal(code, body, r.attempts)
		}
	})
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	r := newFakeServices(0)
	h := command.NewHandler(command.Deps{Configuration: r, Keys: r})
	for name, c := range map[string]struct {
		path, body string
		status     int
		kind       fault.Kind
	}{
		"not JSON":        {api.PathGive, "{", http.StatusBadRequest, fault.Malformed},
		"unknown key":     {api.PathGive, `{"workspace":"w","admin":true}`, http.StatusBadRequest, fault.Malformed},
		"two values":      {api.PathGive, `{"workspace":"w"}{}`, http.StatusBadRequest, fault.Malformed},
		"no workspace":    {api.PathGive, `{}`, http.StatusBadRequest, fault.Malformed},
		"no key":          {api.PathWithdraw, `{}`, http.StatusBadRequest, fault.Malformed},
		"too large":       {api.PathApply, `"` + strings.Repeat("x", api.MaxBodyBytes) + `"`, http.StatusRequestEntityTooLarge, fault.TooLarge},
		"unknown command": {api.CommandPrefix + "fly", `{}`, http.StatusNotFound, fault.NotFound},
		"conflict":        {api.PathApply, `{"document":{},"if_version":9}`, http.StatusConflict, fault.Conflict},
	} {
		status, body := post(t, h, c.path, c.body)
		var f api.ErrorResponse
		if err := json.Unmarshal([]byte(body), &f); err != nil || status != c.status || f.Error.Kind != c.kind || f.Error.Remedy == "" {
			t.Errorf("%s: %d %s", name, status, body)
		}
	}
	if r.snap.Version != 1 {
		t.Fatal("a rejected request changed the configuration")
	}
}

// TestSecretIsNotLogged checks that a new key's secret is in the response but not in the log.
func TestSecretIsNotLogged(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	r := newFakeServices(0)
	code, body := post(t, command.NewHandler(command.Deps{Configuration: r, Keys: r, Log: zap.New(core)}), api.PathGive, `{"workspace":"w"}`)
	if code != http.StatusOK || !strings.Contains(body, "S3CRET") {
		t.Fatal(code, body)
	}
	var text bytes.Buffer
	for _, e := range logs.All() {
		raw, _ := json.Marshal(e.ContextMap())
		text.Write(raw)
	}
	if !strings.Contains(text.String(), "K1") || strings.Contains(text.String(), "S3CRET") {
		t.Fatal(text.String())
	}
}

func FuzzCommands(f *testing.F) {
	for _, seed := range []string{`{}`, `{"endpoint":"d1"}`, `{"workspace":"w"}`, `{"document":{"plans":{"p":{"weight":1}}},"if_version":1}`, `[[[[`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		r := newFakeServices(0)
		h := command.NewHandler(command.Deps{Configuration: r, Keys: r})
		for _, path := range []string{api.PathApply, api.PathGive, api.PathWithdraw, api.PathDrain} {
			if code, out := post(t, h, path, body); !json.Valid([]byte(out)) || code == http.StatusInternalServerError {
				t.Fatal(path, code, out)
			}
		}
	})
}
