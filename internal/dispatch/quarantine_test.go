package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// crashingPart is the prompt part under which the fake engines crash when they begin to answer.
const crashingPart = "crashing"

func crashOnPart(_ int, _ context.Context, req backend.Request) (*backend.Response, error) {
	if slices.Contains(req.Call.PromptParts, crashingPart) {
		r := reply(http.StatusOK, "")
		r.Body = io.NopCloser(failingReader{})
		return r, nil
	}
	return reply(http.StatusOK, events(1, 3)), nil
}

// TestPromptPartThatCrashesEnginesIsNoLongerSent plays calls of one workspace that share the first part of
// their prompts; every second one has the crashing part as well.
func TestPromptPartThatCrashesEnginesIsNoLongerSent(t *testing.T) {
	const (
		calls              = 40
		crashesToNotice    = 5
		maxSendsAfterwards = 3
	)
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewMonotonic()
		cfg := testConfiguration()
		cfg.RequiresKey = false
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
		f := &fakeBackend{run: crashOnPart}
		d := newTestDispatcher(now, cfg, s, f, nil)
		ctx, stop := context.WithCancel(t.Context())
		go d.Run(ctx)
		crashes, sends, harmlessServed := 0, 0, 0
		for i := range calls {
			s.UpdateEndpoints(startedAgain(testEndpoints(), i), cfg.Services) // crashed engines come back as new ones
			call := newCall(streamPath)
			call.ID, call.PromptParts = fmt.Sprint(i), []string{"first"}
			crashing := i%2 == 0
			if crashing {
				call.PromptParts = append(call.PromptParts, crashingPart)
			}
			call.ArrivedAt = now.Now()
			call.Deadline = call.ArrivedAt.Add(5 * time.Second)
			before := len(f.sends)
			out := &recordingSink{}
			err := d.Serve(t.Context(), call, out)
			synctest.Wait()
			sent := slices.ContainsFunc(f.sends[before:], func(s sentRequest) bool { return s.method != "free" })
			switch {
			case !crashing && err == nil && strings.Contains(out.body.String(), "id: 3"):
				harmlessServed++
			case crashing && sent && crashes < crashesToNotice:
				crashes++
			case crashing && sent:
				sends++
			}
			time.Sleep(time.Second)
		}
		if sends > maxSendsAfterwards {
			t.Errorf("%d calls with the part were sent after it had crashed %d engines, want at most %d", sends, crashesToNotice, maxSendsAfterwards)
		}
		if harmlessServed != calls/2 {
			t.Errorf("%d harmless calls were served, want %d", harmlessServed, calls/2)
		}
		stop()
		synctest.Wait()
	})
}

// startedAgain returns endpoints that have started anew.
func startedAgain(all traffic.Endpoints, round int) traffic.Endpoints {
	for i := range all.List {
		all.List[i].ID.StartedAt = int64(round)
	}
	return all
}
