package statesync

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/origin"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/rendezvous"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// originQueueSize is the maximum number of lists of records waiting to be sent. Further ones are dropped: their
	// streams do not continue at another VM once this one has ended.
	originQueueSize = 256
	// localHolders is the number of VMs of its own data centre that are told where a stream of a large fleet began,
	// remoteHolders that of each other data centre. In a small fleet all VMs are told.
	localHolders  = 3
	remoteHolders = 1
	// originTimeout bounds the question where a stream began, originStateTimeout that for all that a VM knows.
	originTimeout = 250 * time.Millisecond
	// unsettledWait is how long the answer to that question waits for a record that is not settled, maxOriginTurns how often VMs
	// are asked while one says so.
	unsettledWait      = 150 * time.Millisecond
	maxOriginTurns     = 4
	originStateTimeout = 500 * time.Millisecond
	// The pause between two such questions doubles from minOriginStatePause to maxOriginStatePause.
	minOriginStatePause = 200 * time.Millisecond
	maxOriginStatePause = 5 * time.Second
	// originStateSources is the number of VMs that are asked at once.
	originStateSources = 3
)

// Origins holds where streams began.
type Origins interface {
	// Lookup returns the origin of a stream of which this VM has a record.
	Lookup(k origin.Key) (traffic.StreamOrigin, bool)
	// Await waits until the record of a stream that began at this VM is settled, and reports whether it is not when ctx ends.
	Await(ctx context.Context, k origin.Key) (unsettled bool)
	// MarkUnsettled receives that another VM does not know yet where a stream began.
	MarkUnsettled(k origin.Key)
	// AddRecords receives records of another VM.
	AddRecords(list []origin.Record)
	// State returns all that this VM knows, Merge receives that of another VM.
	State() origin.State
	Merge(s origin.State, from string)
	// NeedsState reports whether this VM should ask others for their state.
	NeedsState() bool
	// ReceiveSnapshot receives the open streams of a VM whose recorder this one is.
	ReceiveSnapshot(vm ident.VM, s origin.Snapshot)
}

// originRecords tells where streams began.
type originRecords struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	List codec.List[origin.Record]
}

// originQuery asks where a stream began.
type originQuery struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Key origin.Key
}

// originReply is the reply to an originQuery.
type originReply struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Known bool
	// Origin is not empty although the origin is not known if the stream began at the VM and that is still open. A VM of the
	// build before reads it as not known.
	Origin traffic.StreamOrigin
}

// unsettledOrigin is the origin of a stream that began at the replying VM, which does not know its version.
var unsettledOrigin = traffic.StreamOrigin{Service: "unsettled"}

// originStateQuery asks for all that the receiver knows of the origins of streams.
type originStateQuery struct{}

// ShareOrigins tells the VMs that keep them where streams of this VM began.
func (s *Service) ShareOrigins(list []origin.Record) {
	select {
	case s.origins <- list:
	default:
		s.opts.Log.Warn("origins of streams not told to other vms", zap.Int("streams", len(list)), zap.String("why", "queue full"))
	}
}

// sendOrigins sends records to the VMs that keep them, one message for each.
func (s *Service) sendOrigins(list []origin.Record) {
	byHolder := map[netip.AddrPort][]origin.Record{}
	s.mu.Lock()
	for _, rec := range list {
		for _, addr := range s.members.originHolders(rec.Key) {
			byHolder[addr] = append(byHolder[addr], rec)
		}
	}
	s.mu.Unlock()
	for addr, records := range byHolder {
		sendTo(s, peer.KindStreamOrigins, &originRecords{List: records}, []netip.AddrPort{addr})
	}
}

// originHolders returns the VMs that keep the origin of a stream: all other ones of a small fleet, else those with the
// highest rendezvous weights in each data centre.
func (t *memberTable) originHolders(k origin.Key) []netip.AddrPort {
	if !t.large() {
		return t.addresses(allPeers)
	}
	type weighted struct {
		addr   netip.AddrPort
		weight uint64
	}
	byDataCentre := map[string][]weighted{}
	for addr, p := range t.peers {
		if !p.unresponsive {
			w := weighted{addr, rendezvous.Weight(uint64(k), rendezvous.Hash(addr.String()))}
			byDataCentre[p.member.DataCentre] = append(byDataCentre[p.member.DataCentre], w)
		}
	}
	var out []netip.AddrPort
	for dataCentre, vms := range byDataCentre {
		n := remoteHolders
		if dataCentre == t.self.DataCentre {
			n = localHolders
		}
		slices.SortFunc(vms, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
		for _, vm := range vms[:min(n, len(vms))] {
			out = append(out, vm.addr)
		}
	}
	return out
}

func (s *Service) onOrigins(_ context.Context, _ ident.VM, m *originRecords) {
	s.opts.Origins.AddRecords(m.List)
}

// AskOrigin asks the VMs that keep the origin of a stream, and returns the first answer. It asks again while one of them waits for
// the evidence itself.
func (s *Service) AskOrigin(ctx context.Context, k origin.Key) (traffic.StreamOrigin, bool) {
	s.mu.Lock()
	holders := s.members.originHolders(k)
	s.mu.Unlock()
	for range maxOriginTurns {
		reply := s.askHolders(ctx, holders, k)
		if reply.Known {
			return reply.Origin, true
		}
		if reply.Origin != unsettledOrigin {
			break
		}
		s.opts.Origins.MarkUnsettled(k)
	}
	return traffic.StreamOrigin{}, false
}

// askHolders returns the first answer that names the origin of a stream, or else one that says that it is not settled.
func (s *Service) askHolders(ctx context.Context, holders []netip.AddrPort, k origin.Key) originReply {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	replies := make(chan *originReply, len(holders))
	for _, addr := range holders {
		go func() {
			reply, err := peer.Call[originQuery, originReply](ctx, s.opts.Transport, addr, peer.KindStreamOrigin, &originQuery{Key: k})
			if err != nil {
				s.opts.Log.Debug("no answer where a stream began", zap.Stringer("address", addr), zap.Error(err))
				reply = &originReply{}
			}
			replies <- reply
		}()
	}
	var out originReply
	for range holders {
		reply := <-replies
		switch {
		case reply.Known && origin.IsUnsettled(reply.Origin), reply.Origin == unsettledOrigin:
			out = originReply{Origin: unsettledOrigin}
		case reply.Known:
			return *reply
		}
	}
	return out
}

func (s *Service) onOriginQuery(ctx context.Context, _ ident.VM, q *originQuery) (*originReply, error) {
	ctx, cancel := context.WithTimeout(ctx, unsettledWait)
	defer cancel()
	if s.opts.Origins.Await(ctx, q.Key) {
		return &originReply{Origin: unsettledOrigin}, nil
	}
	o, known := s.opts.Origins.Lookup(q.Key)
	return &originReply{Known: known, Origin: o}, nil
}

// adoptOrigins asks direct peers where streams began until one has told this VM all versions of services.
func (s *Service) adoptOrigins(ctx context.Context) {
	pause := minOriginStatePause
	for turn := 0; s.opts.Origins.NeedsState(); turn++ {
		s.mu.Lock()
		sources := s.members.sources(turn, originStateSources)
		s.mu.Unlock()
		s.requestOrigins(ctx, sources)
		if !clock.Sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, maxOriginStatePause)
	}
}

func (s *Service) requestOrigins(ctx context.Context, sources []netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, originStateTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, addr := range sources {
		wg.Go(func() {
			state, err := peer.Call[originStateQuery, origin.State](ctx, s.opts.Transport, addr, peer.KindStreamOriginState, &originStateQuery{})
			if err != nil {
				s.opts.Log.Debug("origins of streams not received", zap.Stringer("address", addr), zap.Error(err))
				return
			}
			s.opts.Origins.Merge(*state, addr.String())
		})
	}
	wg.Wait()
}

func (s *Service) onOriginStateQuery(context.Context, ident.VM, *originStateQuery) (*origin.State, error) {
	state := s.opts.Origins.State()
	return &state, nil
}
