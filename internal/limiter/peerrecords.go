package limiter

import (
	"context"

	"github.com/fulmartide/fulmartide/internal/membership"
)

// recordAsks is the most VMs that are asked for one record.
const recordAsks = 3

// recordFromPeers asks live VMs of a data centre for its record, while the platform does not
// answer. The record only tells where to ask: a VM that no longer holds a share says so. The
// own data centre's record goes to the holder machine, which publishes it.
func (s *Service) recordFromPeers(ctx context.Context, dataCentre string) {
	asked := 0
	for _, m := range s.view().Members {
		if m.DataCentre != dataCentre || m.VM == s.opts.Self.VM || m.State != membership.Alive {
			continue
		}
		if asked++; asked > recordAsks {
			return
		}
		reply, err := s.control(ctx, m, &controlRequest{DataCentre: dataCentre})
		if err != nil || len(reply.Record) == 0 {
			continue
		}
		if dataCentre == s.opts.Self.DataCentre {
			s.worker.learn(ctx, reply)
			return
		}
		if rec, err := DecodeRecord(reply.Record); err == nil {
			s.records.put(dataCentre, rec, reply.Version)
			return
		}
	}
}
