package statesync

import (
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Group returns the data centre whose VMs tell each other their usage in full, empty if all VMs of the fleet do.
func (s *Service) Group() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members.large() {
		return s.opts.Self.DataCentre
	}
	return ""
}

// HasLowestAddress reports whether this VM has the lowest address of all live VMs.
func (s *Service) HasLowestAddress() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.hasLowestAddress()
}

// Others returns up to local live VMs of this data centre and up to remote ones of others, chosen at random.
func (s *Service) Others(local, remote int) []traffic.Via {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []traffic.Via
	for _, p := range s.members.peers { // in random order
		n := &remote
		if p.member.DataCentre == s.opts.Self.DataCentre {
			n = &local
		}
		if p.unresponsive || *n == 0 {
			continue
		}
		*n--
		out = append(out, traffic.Via{VM: p.member.VM.Name, Address: p.member.Address, DataCentre: p.member.DataCentre})
	}
	return out
}

// Rank returns the number of live direct peers with a lower address than this VM.
func (s *Service) Rank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.rank()
}

// ListedRank returns the number of known direct peers with a lower address than this VM, whether they
// have been heard from or not. listed is false until the registry has been listed.
func (s *Service) ListedRank() (rank int, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.listedRank(), s.listed
}
