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
	testService = "engines"
	testPlain   = "plain"
	testMemory  = 50_000
)

type manual struct{ now clock.Instant }

func (m *manual) Now() clock.Instant { return m.now }

func endpoint(name, dataCentre string, stage traffic.Stage) traffic.Endpoint {
	return traffic.Endpoint{ID: traffic.EndpointID{Name: name}, Service: testService, DataCentre: dataCentre, Stage: stage, Slots: 64}
}

func plainEndpoint(name, dataCentre string) traffic.Endpoint {
	return traffic.Endpoint{ID: traffic.EndpointID{Name: name}, Service: testPlain, DataCentre: dataCentre, Slots: 2}
}

var testServices = map[string]*traffic.Service{
	testService: {Name: testService, Engine: &traffic.Engine{KVCapacity: testMemory, HandleTTL: time.Second}},
	testPlain:   {Name: testPlain},
}

func newTestScheduler(list ...traffic.Endpoint) (*Scheduler, *manual) {
	c := &manual{now: clock.Instant(time.Hour)}
	s := New(Options{Clock: c, DataCentre: "a", Seed: 1})
	s.Update(traffic.Endpoints{Version: 1, List: list}, testServices)
	return s, c
}

var small = &traffic.Tokens{Prompt: 5000, MaxOutput: 1000, ExpectedOutput: 400}

func decodeAsk() *Ask  { return &Ask{Service: testService, Stage: traffic.Decode, Tokens: small} }
func prefillAsk() *Ask { return &Ask{Service: testService, Stage: traffic.Prefill, Tokens: small} }
func plainAsk() *Ask   { return &Ask{Service: testPlain} }

func TestChoices(t *testing.T) {
	other := ident.VM{Name: "other"}
	for _, tc := range []struct {
		name string
		list []traffic.Endpoint
		do   func(s *Scheduler, c *manual)
		ask  *Ask
		want string // empty: none
		kind fault.Kind
	}{
		{"near comes first", []traffic.Endpoint{endpoint("far", "b", traffic.Decode), endpoint("near", "a", traffic.Decode)}, nil, decodeAsk(), "near", ""},
		{"leaving ones take nothing", []traffic.Endpoint{{ID: traffic.EndpointID{Name: "x"}, Service: testService, Stage: traffic.Decode, Leaving: true}}, nil, decodeAsk(), "", fault.Unavailable},
		{"the stage counts", []traffic.Endpoint{endpoint("p", "a", traffic.Prefill)}, nil, decodeAsk(), "", fault.Unavailable},
		{
			"work of other VMs fills memory",
			[]traffic.Endpoint{endpoint("full", "a", traffic.Decode), endpoint("free", "b", traffic.Decode)},
			func(s *Scheduler, _ *manual) {
				s.HeardWork(other, 1, traffic.EndpointID{Name: "full"}, Work{Calls: 9, Tokens: testMemory - 100})
			},
			decodeAsk(), "free", "",
		},
		{
			"all full",
			[]traffic.Endpoint{endpoint("full", "a", traffic.Decode)},
			func(s *Scheduler, _ *manual) {
				s.HeardWork(other, 1, traffic.EndpointID{Name: "full"}, Work{Calls: 9, Tokens: testMemory - 100})
			},
			decodeAsk(), "", fault.Overloaded,
		},
		{
			"a VM that is gone holds nothing",
			[]traffic.Endpoint{endpoint("e", "a", traffic.Decode)},
			func(s *Scheduler, _ *manual) {
				s.HeardWork(other, 1, traffic.EndpointID{Name: "e"}, Work{Calls: 9, Tokens: testMemory})
				s.Forget(other)
			},
			decodeAsk(), "e", "",
		},
		{
			"an older message does not undo a newer one",
			[]traffic.Endpoint{endpoint("e", "a", traffic.Decode)},
			func(s *Scheduler, _ *manual) {
				s.HeardWork(other, 5, traffic.EndpointID{Name: "e"}, Work{})
				s.HeardWork(other, 4, traffic.EndpointID{Name: "e"}, Work{Calls: 9, Tokens: testMemory})
			},
			decodeAsk(), "e", "",
		},
		{
			"work told before its endpoint is known counts",
			[]traffic.Endpoint{endpoint("e", "a", traffic.Decode)},
			func(s *Scheduler, _ *manual) {
				s.HeardWork(other, 1, traffic.EndpointID{Name: "new"}, Work{Calls: 9, Tokens: testMemory})
				s.Update(traffic.Endpoints{Version: 2, List: []traffic.Endpoint{endpoint("new", "a", traffic.Decode), endpoint("e", "b", traffic.Decode)}}, testServices)
			},
			decodeAsk(), "e", "",
		},
		{
			"far engines keep room for what was not told yet",
			[]traffic.Endpoint{endpoint("far", "b", traffic.Decode)},
			func(s *Scheduler, _ *manual) {
				s.SetFarLate(true)
				s.HeardWork(other, 1, traffic.EndpointID{Name: "far"}, Work{Calls: 7, Tokens: testMemory * 85 / 100})
			},
			decodeAsk(), "", fault.Overloaded,
		},
		{
			"the shorter queue reads first",
			[]traffic.Endpoint{endpoint("busy", "a", traffic.Prefill), endpoint("idle", "b", traffic.Prefill)},
			func(s *Scheduler, _ *manual) {
				s.HeardWork(other, 1, traffic.EndpointID{Name: "busy"}, Work{Calls: 4, Tokens: 20_000})
			},
			prefillAsk(), "idle", "",
		},
		{
			"a dead endpoint is left alone",
			[]traffic.Endpoint{plainEndpoint("dead", "a"), plainEndpoint("sound", "b")},
			func(s *Scheduler, _ *manual) { s.HeardFailure(traffic.EndpointID{Name: "dead"}, Dead) },
			plainAsk(), "sound", "",
		},
		{
			"an endpoint that breaks off is left to calls that can bear it",
			[]traffic.Endpoint{plainEndpoint("breaking", "a"), plainEndpoint("sound", "b")},
			func(s *Scheduler, _ *manual) { s.HeardFailure(traffic.EndpointID{Name: "breaking"}, Failed) },
			&Ask{Service: testPlain, Once: true}, "sound", "",
		},
		{
			"a dead endpoint is used where there is no other",
			[]traffic.Endpoint{plainEndpoint("dead", "a")},
			func(s *Scheduler, _ *manual) { s.HeardFailure(traffic.EndpointID{Name: "dead"}, Dead) },
			plainAsk(), "dead", "",
		},
		{
			"a dead endpoint is tried again later",
			[]traffic.Endpoint{plainEndpoint("dead", "a"), plainEndpoint("sound", "b")},
			func(s *Scheduler, c *manual) {
				s.HeardFailure(traffic.EndpointID{Name: "dead"}, Dead)
				c.now = c.now.Add(40 * time.Second)
			},
			plainAsk(), "dead", "",
		},
		{
			"a life that began again is another endpoint",
			[]traffic.Endpoint{plainEndpoint("e", "a")},
			func(s *Scheduler, _ *manual) {
				s.HeardFailure(traffic.EndpointID{Name: "e"}, Dead)
				again := plainEndpoint("e", "a")
				again.ID.StartedAt = 2
				s.Update(traffic.Endpoints{Version: 2, List: []traffic.Endpoint{again, plainEndpoint("other", "b")}}, testServices)
			},
			plainAsk(), "e", "",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, c := newTestScheduler(tc.list...)
			if tc.do != nil {
				tc.do(s, c)
			}
			claim, err := s.Place(tc.ask, nil)
			switch {
			case tc.want == "":
				if !fault.Is(err, tc.kind) {
					t.Errorf("error %v, want %s", err, tc.kind)
				}
			case err != nil:
				t.Error(err)
			case claim.Endpoint.ID.Name != tc.want:
				t.Errorf("chose %s, want %s", claim.Endpoint.ID.Name, tc.want)
			}
		})
	}
}

// TestClaimsNeverExceedMemory gives out and releases at random and sees that the claims of an
// engine fit its memory.
func TestClaimsNeverExceedMemory(t *testing.T) {
	s, _ := newTestScheduler(endpoint("x", "a", traffic.Decode), endpoint("y", "b", traffic.Decode))
	random := rand.New(rand.NewPCG(1, 2))
	var held []*Claim
	refused := 0
	for range 2000 {
		if random.IntN(3) == 0 && len(held) > 0 {
			i := random.IntN(len(held))
			held[i].Release()
			held[i].Release() // a second release changes nothing
			held = append(held[:i], held[i+1:]...)
		} else if c, err := s.Place(decodeAsk(), nil); err == nil {
			held = append(held, c)
		} else {
			refused++
		}
		_, all := s.Held()
		for _, held := range all {
			for id, w := range held {
				if w.Tokens > testMemory || w.Tokens < 0 {
					t.Fatalf("%d tokens claimed at %s", w.Tokens, id.Name)
				}
			}
		}
	}
	if refused == 0 {
		t.Error("the engines were never full")
	}
	for _, c := range held {
		c.Release()
	}
	if _, all := s.Held(); len(all) != 0 {
		t.Errorf("after all releases %v is held", all)
	}
}

// TestARefusalShowsUnseenWork shows that an engine that refused is left alone, and for how long.
func TestARefusalShowsUnseenWork(t *testing.T) {
	s, c := newTestScheduler(endpoint("x", "a", traffic.Decode), endpoint("y", "b", traffic.Decode))
	first, err := s.Place(decodeAsk(), nil)
	if err != nil || first.Endpoint.ID.Name != "x" {
		t.Fatalf("chose %v, error %v", first, err)
	}
	first.Full()
	first.Release()
	if second, err := s.Place(decodeAsk(), nil); err != nil || second.Endpoint.ID.Name != "y" {
		t.Fatalf("after a refusal chose %v, error %v", second, err)
	}
	c.now = c.now.Add(unseenTime)
	if third, err := s.Place(decodeAsk(), nil); err != nil || third.Endpoint.ID.Name != "x" {
		t.Fatalf("later chose %v, error %v", third, err)
	}
}

// TestLargeCallsAreNotOvertaken shows that a small call waits behind a large one that came
// first, and goes when its turn ends.
func TestLargeCallsAreNotOvertaken(t *testing.T) {
	s, _ := newTestScheduler(endpoint("x", "a", traffic.Decode))
	ask := func(prompt int64) *Ask {
		return &Ask{Service: testService, Stage: traffic.Decode, Tokens: &traffic.Tokens{Prompt: prompt}}
	}
	if _, err := s.Place(ask(testMemory/2), nil); err != nil {
		t.Fatal(err)
	}
	large := ask(testMemory * 3 / 4)
	if _, err := s.Place(large, nil); !fault.Is(err, fault.Overloaded) {
		t.Fatalf("the large call: %v", err)
	}
	turn := s.Queue(large)
	if _, err := s.Place(ask(100), nil); !fault.Is(err, fault.Overloaded) {
		t.Errorf("a small call overtook: %v", err)
	}
	pressing := ask(100)
	pressing.Pressing = true
	if _, err := s.Place(pressing, nil); err != nil {
		t.Errorf("a call whose prompt is read was held up: %v", err)
	}
	turn.Leave()
	turn.Leave() // a second time changes nothing
	if _, err := s.Place(ask(100), nil); err != nil {
		t.Errorf("after the turn: %v", err)
	}
}

func TestReleaseWakesThoseThatWait(t *testing.T) {
	s, _ := newTestScheduler(endpoint("x", "a", traffic.Decode))
	c, err := s.Place(decodeAsk(), nil)
	if err != nil {
		t.Fatal(err)
	}
	freed := s.Freed()
	c.Release()
	select {
	case <-freed:
	default:
		t.Error("a release woke nobody")
	}
}
