package placement

import (
	"github.com/fulmartide/fulmartide/internal/membership"
)

// reconcile updates the runners and leases according to the configuration and the members.
func (s *Service) reconcile() {
	l := s.currentLayout()
	for cell, spec := range l.cells {
		if s.isSelf(s.owner(cell, spec.region, nil)) {
			s.runner(cell)
		}
	}
	var members []membership.Member
	if s.opts.Directory != nil {
		members = s.opts.Directory.View().Members
	}
	for _, r := range s.allRunners() {
		s.reconcileRunner(l, r, members)
	}
	for _, lease := range s.allLeases() {
		lease.transferTo(s.owner(lease.cell, lease.region, nil))
	}
}

func (s *Service) reconcileRunner(l *layout, r *runner, members []membership.Member) {
	if spec := l.cells[r.cell]; spec != nil {
		r.configure(s.ctx, l.version, spec)
		r.updateMembers(s.ctx, members)
	}
	owned := l.cells[r.cell] != nil && s.isSelf(s.owner(r.cell, r.region, nil))
	if owned || !r.unused() {
		return
	}
	s.mu.Lock()
	delete(s.runners, r.cell)
	s.mu.Unlock()
	r.stop()
}

func (s *Service) allRunners() []*runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*runner, 0, len(s.runners))
	for _, r := range s.runners {
		out = append(out, r)
	}
	return out
}

func (s *Service) allLeases() []*lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*lease, 0, len(s.leases))
	for _, l := range s.leases {
		out = append(out, l)
	}
	return out
}
