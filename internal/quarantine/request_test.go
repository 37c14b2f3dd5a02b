package quarantine

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// requestKey returns the key of a request with this body.
func requestKey(body string) string {
	return (&traffic.Call{Body: []byte(body)}).RequestKey()
}

// event is a crash of an endpoint under a request that was sent at sentMs, or an answer if endpoint is empty.
type event struct {
	request, endpoint string
	sentMs, atMs      int
}

func replay(events []event) *tracker {
	t := newTracker()
	for i, e := range events {
		r := Record{ID: uint64(i + 1), Endpoint: traffic.EndpointID{Name: e.endpoint}, Parts: []string{requestKey(e.request)}, Call: "call"}
		r.Ran = time.Duration(e.atMs-e.sentMs) * time.Millisecond
		t.add(clock.Instant(e.atMs)*clock.Instant(time.Millisecond), []Record{r})
	}
	return t
}

func TestRequestsThatAreQuarantined(t *testing.T) {
	cause := []event{{"cause", "e1", 0, 50}, {"cause", "e2", 52, 100}, {"cause", "e3", 900, 950}, {"cause", "e4", 952, 1000}}
	for _, tc := range []struct {
		name   string
		events []event
		want   []string
	}{
		{"two crashes", cause[:2], nil},
		{"three crashes, two of them under one call", cause[:3], []string{"cause"}},
		{"endpoints that end at the same moment", []event{{"a", "e1", 0, 50}, {"a", "e2", 10, 51}, {"a", "e3", 20, 52}}, nil},
		{"calls at one endpoint that ends", []event{{"a", "e1", 0, 50}, {"a", "e1", 60, 62}, {"a", "e1", 70, 72}}, nil},
		{
			"a request that was sent again to the endpoint that its cause took next",
			[]event{cause[0], {"sound", "e1", 10, 50}, cause[1], {"sound", "e2", 53, 100}, cause[2], cause[3]},
			[]string{"cause"},
		},
		{
			"a request that was beside three of four crashes",
			[]event{cause[0], {"sound", "e1", 10, 50}, cause[1], {"sound", "e2", 53, 100}, cause[2], {"sound", "e3", 901, 950}, cause[3]},
			[]string{"cause"},
		},
		{"answered in between", []event{cause[0], cause[1], {request: "cause", atMs: 500}, cause[2], cause[3]}, nil},
		{"answered afterwards", append(cause[:3:3], event{request: "cause", atMs: 5000}), nil},
		{"another request was answered", append(cause[:3:3], event{request: "sound", atMs: 5000}), []string{"cause"}},
		{
			"two causes",
			append(cause[:3:3], event{"other", "e5", 2000, 2050}, event{"other", "e6", 2100, 2150}, event{"other", "e7", 2200, 2250}),
			[]string{"cause", "other"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tr := replay(tc.events)
			for _, request := range tc.want {
				if !tr.isQuarantined(requestKey(request)) {
					t.Errorf("%s is not quarantined", request)
				}
			}
			if len(tr.quarantined) != len(tc.want) {
				t.Errorf("%d requests are quarantined, want %d", len(tr.quarantined), len(tc.want))
			}
		})
	}
}

// TestRequestIsTriedThreeTimesAtMost lets each trial crash an endpoint.
func TestRequestIsTriedThreeTimesAtMost(t *testing.T) {
	tr := newTracker()
	key := requestKey("cause")
	sends, now := 0, clock.Instant(0)
	for ; now < clock.Instant(retention); now = now.Add(time.Second) {
		if v := tr.check(now, []string{key}, true); v.part != "" && !v.trial {
			if v.wait < minWait {
				t.Fatalf("refused with a wait of %v", v.wait)
			}
			continue
		}
		sends++
		id := strconv.Itoa(sends)
		tr.add(now, []Record{{ID: uint64(sends), Endpoint: traffic.EndpointID{Name: id}, Parts: []string{key}, Call: id}})
	}
	if want := minRequestCrashes + maxRequestTrials; sends != want {
		t.Errorf("sent %d times, want %d", sends, want)
	}
	now = now.Add(retention)
	if v := tr.check(now, []string{key}, false); v.part != "" || tr.suspectsRequests() {
		t.Errorf("still known long after the last crash: %+v", v)
	}
}

// TestFleetQuarantinesRequestsThatCrashEndpoints plays a request that crashes endpoints, and others that run beside it
// at some crashes, at VMs that restart and are cut off.
func TestFleetQuarantinesRequestsThatCrashEndpoints(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet()
		cause := requestKey("cause")
		crashes, known, afterwards, noticedAt := 0, 0, 0, clock.Instant(0)
		beside := map[string]int{} // crashes beside which a sound request ran since its last answer that the fleet knows of
		allowed := func(i int, key string) bool {
			return !f.vms[i].SuspectsRequests() || !f.vms[i].Check([]string{key}).Refused()
		}
		for range rapid.IntRange(60, 200).Draw(rt, "steps") {
			f.clock.now = f.clock.now.Add(time.Duration(rapid.IntRange(100, 900).Draw(rt, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(f.vms)-1).Draw(rt, "vm")
			sound := requestKey("sound" + strconv.Itoa(rapid.IntRange(0, 3).Draw(rt, "request")))
			switch what := rapid.IntRange(0, 26).Draw(rt, "what"); {
			case what < 12:
				if !f.cut[i] && beside[sound] < minRequestCrashes && !allowed(i, sound) {
					rt.Fatalf("a request was refused that had met %d crashes", beside[sound])
				}
				if allowed(i, sound) {
					f.vms[i].RecordAnswer(sound)
					if !f.cut[i] {
						beside[sound] = 0
					}
				}
			case what < 24:
				if !allowed(i, cause) {
					continue
				}
				if known >= minRequestCrashes && f.inContact(i) && f.clock.now.Sub(noticedAt) >= contactTime {
					afterwards++
				}
				if !f.cut[i] { // a VM that is cut off may die with what it knows
					known++
				}
				if known == minRequestCrashes {
					noticedAt = f.clock.now
				}
				crashes++
				c := Crash{Endpoint: traffic.EndpointID{Name: strconv.Itoa(crashes)}, Call: "call", Ran: 50 * time.Millisecond}
				c.Parts = []string{cause}
				f.vms[i].RecordCrash(c)
				if rapid.Bool().Draw(rt, "beside") {
					c.Parts = []string{sound}
					f.vms[i].RecordCrash(c)
					beside[sound]++
				}
			case what == 24 && f.cut == [3]bool{}:
				f.cut[i] = true
			case what == 25:
				f.cut[i], f.healedAt[i] = false, f.clock.now
				f.resync(i)
			case what == 26:
				f.healedAt[i] = f.clock.now
				f.start(i)
				f.resync(i)
			}
		}
		if afterwards > maxRequestTrials {
			rt.Fatalf("sent %d times by VMs in contact after three crashes", afterwards)
		}
	})
}
