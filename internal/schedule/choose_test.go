package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	testService      = "engines"
	testPlainService = "plain"
	testCapacity     = 50_000
)

type manualClock struct{ now clock.Instant }

func (m *manualClock) Now() clock.Instant { return m.now }

func newEngine(name, dataCentre string, stage traffic.Stage) traffic.Endpoint {
	return traffic.Endpoint{ID: traffic.EndpointID{Name: name}, Service: testService, DataCentre: dataCentre, Stage: stage, Slots: 64}
}

func newPlainEndpoint(name, dataCentre string) traffic.Endpoint {
	return traffic.Endpoint{ID: traffic.EndpointID{Name: name}, Service: testPlainService, DataCentre: dataCentre, Slots: 2}
}

var testServices = map[string]*traffic.Service{
	testService:      {Name: testService, Engine: &traffic.EngineParameters{KVCapacity: testCapacity, HandleTTL: time.Second}},
	testPlainService: {Name: testPlainService},
}

func newTestScheduler(list ...traffic.Endpoint) (*Scheduler, *manualClock) {
	c := &manualClock{now: clock.Instant(time.Hour)}
	s := New(Options{Clock: c, DataCentre: "a", Seed: 1})
	s.UpdateEndpoints(traffic.Endpoints{Version: 1, List: list}, testServices)
	return s, c
}

var testTokens = &traffic.Tokens{Prompt: 5000, MaxOutput: 1000, ExpectedOutput: 400}

func decodeRequest() *Request {
	return &Request{Service: testService, Stage: traffic.Decode, Tokens: testTokens}
}

func prefillRequest() *Request {
	return &Request{Service: testService, Stage: traffic.Prefill, Tokens: testTokens}
}
func plainRequest() *Request { return &Request{Service: testPlainService} }

func TestPlace(t *testing.T) {
	other := ident.VM{Name: "other"}
	for _, tc := range []struct {
		name    string
		list    []traffic.Endpoint
		prepare func(s *Scheduler, c *manualClock)
		request *Request
		want    string // empty if an error is expected
		kind    fault.Kind
	}{
		{"local engine is preferred", []traffic.Endpoint{newEngine("remote", "b", traffic.Decode), newEngine("local", "a", traffic.Decode)}, nil, decodeRequest(), "local", ""},
		{"leaving endpoint is not used", []traffic.Endpoint{{ID: traffic.EndpointID{Name: "x"}, Service: testService, Stage: traffic.Decode, Leaving: true}}, nil, decodeRequest(), "", fault.Unavailable},
		{"engine of another stage is not used", []traffic.Endpoint{newEngine("p", "a", traffic.Prefill)}, nil, decodeRequest(), "", fault.Unavailable},
		{
			"work of other VMs takes memory",
			[]traffic.Endpoint{newEngine("full", "a", traffic.Decode), newEngine("free", "b", traffic.Decode)},
			func(s *Scheduler, _ *manualClock) {
				s.UpdateWork(other, 1, traffic.EndpointID{Name: "full"}, Work{Calls: 9, Tokens: testCapacity - 100})
			},
			decodeRequest(), "free", "",
		},
		{
			"all engines are full",
			[]traffic.Endpoint{newEngine("full", "a", traffic.Decode)},
			func(s *Scheduler, _ *manualClock) {
				s.UpdateWork(other, 1, traffic.EndpointID{Name: "full"}, Work{Calls: 9, Tokens: testCapacity - 100})
			},
			decodeRequest(), "", fault.Overloaded,
		},
		{
			"work of a VM that is gone is removed",
			[]traffic.Endpoint{newEngine("e", "a", traffic.Decode)},
			func(s *Scheduler, _ *manualClock) {
				s.UpdateWork(other, 1, traffic.EndpointID{Name: "e"}, Work{Calls: 9, Tokens: testCapacity})
				s.ForgetVM(other)
			},
			decodeRequest(), "e", "",
		},
		{
			"older report does not replace a newer one",
			[]traffic.Endpoint{newEngine("e", "a", traffic.Decode)},
			func(s *Scheduler, _ *manualClock) {
				s.UpdateWork(other, 5, traffic.EndpointID{Name: "e"}, Work{})
				s.UpdateWork(other, 4, traffic.EndpointID{Name: "e"}, Work{Calls: 9, Tokens: testCapacity})
			},
			decodeRequest(), "e", "",
		},
		{
			"work reported before its endpoint is known counts",
			[]traffic.Endpoint{newEngine("e", "a", traffic.Decode)},
			func(s *Scheduler, _ *manualClock) {
				s.UpdateWork(other, 1, traffic.EndpointID{Name: "new"}, Work{Calls: 9, Tokens: testCapacity})
				s.UpdateEndpoints(traffic.Endpoints{Version: 2, List: []traffic.Endpoint{newEngine("new", "a", traffic.Decode), newEngine("e", "b", traffic.Decode)}}, testServices)
			},
			decodeRequest(), "e", "",
		},
		{
			"remote engines keep a margin for unreported work",
			[]traffic.Endpoint{newEngine("remote", "b", traffic.Decode)},
			func(s *Scheduler, _ *manualClock) {
				s.SetRemoteReportsDelayed(true)
				s.UpdateWork(other, 1, traffic.EndpointID{Name: "remote"}, Work{Calls: 7, Tokens: testCapacity * 85 / 100})
			},
			decodeRequest(), "", fault.Overloaded,
		},
		{
			"engine with the shorter prefill queue is preferred",
			[]traffic.Endpoint{newEngine("busy", "a", traffic.Prefill), newEngine("idle", "b", traffic.Prefill)},
			func(s *Scheduler, _ *manualClock) {
				s.UpdateWork(other, 1, traffic.EndpointID{Name: "busy"}, Work{Calls: 4, Tokens: 20_000})
			},
			prefillRequest(), "idle", "",
		},
		{
			"dead endpoint is not used",
			[]traffic.Endpoint{newPlainEndpoint("dead", "a"), newPlainEndpoint("healthy", "b")},
			func(s *Scheduler, _ *manualClock) { s.RecordPeerOutcome(traffic.EndpointID{Name: "dead"}, Dead) },
			plainRequest(), "healthy", "",
		},
		{
			"call that cannot be retried avoids a failing endpoint",
			[]traffic.Endpoint{newPlainEndpoint("failing", "a"), newPlainEndpoint("healthy", "b")},
			func(s *Scheduler, _ *manualClock) { s.RecordPeerOutcome(traffic.EndpointID{Name: "failing"}, Failed) },
			&Request{Service: testPlainService, NotRetryable: true}, "healthy", "",
		},
		{
			"dead endpoint is used if there is no other",
			[]traffic.Endpoint{newPlainEndpoint("dead", "a")},
			func(s *Scheduler, _ *manualClock) { s.RecordPeerOutcome(traffic.EndpointID{Name: "dead"}, Dead) },
			plainRequest(), "dead", "",
		},
		{
			"dead endpoint is used again later",
			[]traffic.Endpoint{newPlainEndpoint("dead", "a"), newPlainEndpoint("healthy", "b")},
			func(s *Scheduler, c *manualClock) {
				s.RecordPeerOutcome(traffic.EndpointID{Name: "dead"}, Dead)
				c.now = c.now.Add(40 * time.Second)
			},
			plainRequest(), "dead", "",
		},
		{
			"restarted endpoint is a new endpoint",
			[]traffic.Endpoint{newPlainEndpoint("e", "a")},
			func(s *Scheduler, _ *manualClock) {
				s.RecordPeerOutcome(traffic.EndpointID{Name: "e"}, Dead)
				restarted := newPlainEndpoint("e", "a")
				restarted.ID.StartedAt = 2
				s.UpdateEndpoints(traffic.Endpoints{Version: 2, List: []traffic.Endpoint{restarted, newPlainEndpoint("other", "b")}}, testServices)
			},
			plainRequest(), "e", "",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, c := newTestScheduler(tc.list...)
			if tc.prepare != nil {
				tc.prepare(s, c)
			}
			claim, err := s.Place(tc.request, nil)
			switch {
			case tc.want == "":
				if !fault.Is(err, tc.kind) {
					t.Errorf("Place() error = %v, want kind %s", err, tc.kind)
				}
			case err != nil:
				t.Error(err)
			case claim.Endpoint.ID.Name != tc.want:
				t.Errorf("Place() chose %s, want %s", claim.Endpoint.ID.Name, tc.want)
			}
		})
	}
}

// TestClaimsNeverExceedMemory places and releases calls at random and checks that the claims at an
// engine never exceed its memory.
func TestClaimsNeverExceedMemory(t *testing.T) {
	s, _ := newTestScheduler(newEngine("x", "a", traffic.Decode), newEngine("y", "b", traffic.Decode))
	random := rand.New(rand.NewPCG(1, 2))
	var claims []*Claim
	refused := 0
	for range 2000 {
		if random.IntN(3) == 0 && len(claims) > 0 {
			i := random.IntN(len(claims))
			claims[i].Release()
			claims[i].Release() // a second release has no effect
			claims = append(claims[:i], claims[i+1:]...)
		} else if c, err := s.Place(decodeRequest(), nil); err == nil {
			claims = append(claims, c)
		} else {
			refused++
		}
		_, byDataCentre := s.OwnWork()
		for _, work := range byDataCentre {
			for id, w := range work {
				if w.Tokens > testCapacity || w.Tokens < 0 {
					t.Fatalf("%d tokens are claimed at %s", w.Tokens, id.Name)
				}
			}
		}
	}
	if refused == 0 {
		t.Error("the engines were never full")
	}
	for _, c := range claims {
		c.Release()
	}
	if _, work := s.OwnWork(); len(work) != 0 {
		t.Errorf("work left after all claims were released: %v", work)
	}
}

// TestRefusingEngineIsAvoided checks that an engine that refused a call for lack of capacity is
// avoided until the hidden work has decayed.
func TestRefusingEngineIsAvoided(t *testing.T) {
	s, c := newTestScheduler(newEngine("x", "a", traffic.Decode), newEngine("y", "b", traffic.Decode))
	first, err := s.Place(decodeRequest(), nil)
	if err != nil || first.Endpoint.ID.Name != "x" {
		t.Fatalf("before the refusal: chose %v, error %v", first, err)
	}
	first.RecordRefusal()
	first.Release()
	if second, err := s.Place(decodeRequest(), nil); err != nil || second.Endpoint.ID.Name != "y" {
		t.Fatalf("after the refusal: chose %v, error %v", second, err)
	}
	c.now = c.now.Add(hiddenWorkTime)
	if third, err := s.Place(decodeRequest(), nil); err != nil || third.Endpoint.ID.Name != "x" {
		t.Fatalf("after the decay of hidden work: chose %v, error %v", third, err)
	}
}

// TestLargeCallIsNotOvertaken checks that a small call is not placed before a large one that is
// queued, and is placed after the large one has left the queue.
func TestLargeCallIsNotOvertaken(t *testing.T) {
	s, _ := newTestScheduler(newEngine("x", "a", traffic.Decode))
	request := func(prompt int64) *Request {
		return &Request{Service: testService, Stage: traffic.Decode, Tokens: &traffic.Tokens{Prompt: prompt}}
	}
	if _, err := s.Place(request(testCapacity/2), nil); err != nil {
		t.Fatal(err)
	}
	large := request(testCapacity * 3 / 4)
	if _, err := s.Place(large, nil); !fault.Is(err, fault.Overloaded) {
		t.Fatalf("the large call: error %v", err)
	}
	entry := s.Enqueue(large)
	if _, err := s.Place(request(100), nil); !fault.Is(err, fault.Overloaded) {
		t.Errorf("a small call was placed before a queued one: error %v", err)
	}
	prefilled := request(100)
	prefilled.SkipQueue = true
	if _, err := s.Place(prefilled, nil); err != nil {
		t.Errorf("a call with a prefilled prompt was not placed: %v", err)
	}
	entry.Leave()
	entry.Leave() // a second call has no effect
	if _, err := s.Place(request(100), nil); err != nil {
		t.Errorf("after the large call left the queue: %v", err)
	}
}

func TestReleaseWakesWaitingCalls(t *testing.T) {
	s, _ := newTestScheduler(newEngine("x", "a", traffic.Decode))
	c, err := s.Place(decodeRequest(), nil)
	if err != nil {
		t.Fatal(err)
	}
	freed := s.CapacityFreed()
	c.Release()
	select {
	case <-freed:
	default:
		t.Error("the release did not wake waiting calls")
	}
}
