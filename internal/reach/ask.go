package reach

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// question asks whether a VM reaches endpoints.
type question struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Endpoints []askedEndpoint
}

// askedEndpoint is an endpoint to which the asking VM lost its path LostFor ago.
type askedEndpoint struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name      string
	StartedAt int64
	LostFor   time.Duration
}

func (a *askedEndpoint) id() traffic.EndpointID {
	return traffic.EndpointID{Name: a.Name, StartedAt: a.StartedAt}
}

// answer is the reply to a question.
type answer struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Reached are the indices of the endpoints in the question that the VM reaches.
	Reached []int
	// Room is the number of requests that it can send for others now.
	Room int
}

// ask asks other VMs whether they reach endpoints, and records those that do and have room. Nothing is recorded of an
// endpoint that only VMs without room reach: it is not dead.
func (s *Service) ask(ctx context.Context, lost []schedule.LostPath) {
	reached := make([][]traffic.Via, len(lost))
	withoutRoom := make([]bool, len(lost))
	others := s.opts.Others(localSources, remoteSources)
	for _, reply := range s.askAll(ctx, others, lost) {
		for _, i := range reply.Reached {
			switch {
			case i < 0 || i >= len(lost):
			case reply.Room > 0:
				reached[i] = append(reached[i], reply.via)
			default:
				withoutRoom[i] = true
			}
		}
	}
	n, full := 0, 0
	for i, l := range lost {
		s.sortNearest(reached[i])
		switch {
		case len(reached[i]) > 0:
			n++
		case withoutRoom[i]:
			full++
			continue
		}
		s.opts.Paths.SetVia(l.Endpoint.ID, reached[i])
	}
	s.opts.Log.Info("other vms asked for lost paths", zap.Int("lost", len(lost)), zap.Int("reached_by_others", n), zap.Int("reached_without_room", full), zap.Int("asked", len(others)))
}

// sortNearest puts the VMs of this data centre first, and those of each other one together.
func (s *Service) sortNearest(via []traffic.Via) {
	slices.SortStableFunc(via, func(a, b traffic.Via) int {
		if local := (a.DataCentre == s.opts.DataCentre); local != (b.DataCentre == s.opts.DataCentre) {
			if local {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.DataCentre, b.DataCentre)
	})
}

// vmAnswer is the answer of a VM.
type vmAnswer struct {
	answer
	via traffic.Via
}

// askAll asks VMs at once and returns their answers.
func (s *Service) askAll(ctx context.Context, others []traffic.Via, lost []schedule.LostPath) []vmAnswer {
	var q question
	for _, l := range lost {
		q.Endpoints = append(q.Endpoints, askedEndpoint{Name: l.Endpoint.ID.Name, StartedAt: l.Endpoint.ID.StartedAt, LostFor: l.For})
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []vmAnswer
	for _, via := range others {
		wg.Go(func() {
			a, err := peer.Call[question, answer](ctx, s.opts.Transport, via.Address, peer.KindReach, &q)
			if err != nil {
				s.opts.Log.Info("no answer about lost paths", zap.String("vm", via.VM), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, vmAnswer{*a, via})
		})
	}
	wg.Wait()
	return out
}

// ReachedElsewhere asks other VMs whether they reach an endpoint now.
func (s *Service) ReachedElsewhere(ctx context.Context, e traffic.Endpoint) bool {
	answers := s.askAll(ctx, s.opts.Others(localSources, remoteSources), []schedule.LostPath{{Endpoint: e}})
	return slices.ContainsFunc(answers, func(a vmAnswer) bool { return len(a.Reached) > 0 })
}

// onQuestion answers from what this VM knows, and connects to endpoints of which it knows too little. It refuses to
// reach for others what it has lost itself.
func (s *Service) onQuestion(ctx context.Context, from ident.VM, q *question) (*answer, error) {
	reached := make([]bool, len(q.Endpoints))
	slots := make(chan struct{}, maxProbes)
	var wg sync.WaitGroup
	for i := range q.Endpoints[:min(len(q.Endpoints), maxAsked)] {
		asked := &q.Endpoints[i]
		e := s.opts.Paths.PathEvidence(asked.id())
		switch {
		case !e.Known || e.Lost:
		case e.AnsweredAgo < asked.LostFor:
			reached[i] = true
		default:
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				reached[i] = s.connect(ctx, e.Endpoint) == nil
			})
		}
	}
	wg.Wait()
	a := &answer{Room: s.opts.Room()}
	for i, ok := range reached {
		if ok {
			a.Reached = append(a.Reached, i)
		}
	}
	s.opts.Log.Info("asked about lost paths", zap.Stringer("vm", from), zap.Int("lost", len(q.Endpoints)), zap.Int("reached", len(a.Reached)), zap.Int("room", a.Room))
	return a, nil
}
