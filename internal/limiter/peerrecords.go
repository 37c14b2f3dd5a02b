package limiter

import (
	"context"
	"time"

	"github.com/fulmartide/fulmartide/internal/membership"
)

const (
	// maxRecordRequests is the maximum number of VMs that are queried for the record per attempt.
	maxRecordRequests = 3
	// bootstrapPeriod is the interval between the attempts of a VM that has no record yet.
	bootstrapPeriod = 300 * time.Millisecond
	// bootstrapTimeout is how long a VM without a record waits before it becomes ready with the
	// shares of other data centres only.
	bootstrapTimeout = 3 * time.Second
)

// bootstrap queries VMs of the local data centre for its record until the holder state machine
// has one. This allows a VM to serve that starts while the platform is unavailable.
func (s *Service) bootstrap(ctx context.Context) {
	t := time.NewTicker(bootstrapPeriod)
	defer t.Stop()
	limit := time.AfterFunc(bootstrapTimeout, func() { s.bootstrapTimedOut.Store(true) })
	defer limit.Stop()
	for s.records.get(s.opts.Self.DataCentre) == nil {
		s.fetchRecordFromPeers(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// fetchRecordFromPeers passes the record applied by another VM of the data centre to the holder
// state machine.
func (s *Service) fetchRecordFromPeers(ctx context.Context) {
	queried := 0
	for _, m := range s.view().Members {
		if m.DataCentre != s.opts.Self.DataCentre || m.VM == s.opts.Self.VM || m.State != membership.Alive {
			continue
		}
		if queried++; queried > maxRecordRequests {
			return
		}
		reply, err := s.control(ctx, m, &controlRequest{DataCentre: m.DataCentre})
		if err == nil && len(reply.Record) > 0 {
			s.worker.deliverRecord(ctx, reply)
			return
		}
	}
}
