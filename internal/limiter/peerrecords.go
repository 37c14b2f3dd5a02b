package limiter

import (
	"context"
	"time"

	"github.com/fulmartide/fulmartide/internal/membership"
)

const (
	// recordAsks is the most VMs that are asked for one record.
	recordAsks = 3
	// bootstrapPeriod is the time between asks of a VM that has no record yet.
	bootstrapPeriod = 300 * time.Millisecond
	// bootstrapLimit is how long a VM without a record waits before it serves from the shares
	// of other data centres alone.
	bootstrapLimit = 3 * time.Second
)

// bootstrap asks VMs of the own data centre for its record until the holder machine has one,
// so that a VM that starts while the platform is away can serve.
func (s *Service) bootstrap(ctx context.Context) {
	t := time.NewTicker(bootstrapPeriod)
	defer t.Stop()
	limit := time.AfterFunc(bootstrapLimit, func() { s.waited.Store(true) })
	defer limit.Stop()
	for s.records.get(s.opts.Self.DataCentre) == nil {
		s.ownRecordFromPeers(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// ownRecordFromPeers gives the holder machine the record that another VM of its data centre
// applies.
func (s *Service) ownRecordFromPeers(ctx context.Context) {
	asked := 0
	for _, m := range s.view().Members {
		if m.DataCentre != s.opts.Self.DataCentre || m.VM == s.opts.Self.VM || m.State != membership.Alive {
			continue
		}
		if asked++; asked > recordAsks {
			return
		}
		reply, err := s.control(ctx, m, &controlRequest{DataCentre: m.DataCentre})
		if err == nil && len(reply.Record) > 0 {
			s.worker.learn(ctx, reply)
			return
		}
	}
}
