package statesync

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

// PaceChanged has all VMs that place work at an endpoint told of its pace, with the work of this VM there.
func (s *Service) PaceChanged(c schedule.PaceChange) {
	s.mu.Lock()
	s.seq = max(s.seq, c.Seq)
	s.changes.addPace(c.Endpoint, c.DataCentre, c.Work)
	s.mu.Unlock()
	s.wake()
}

// addPaces adds to a list of work what the endpoints said about their pace. It must be called without s.mu, which is
// taken under the scheduler's lock.
func (s *Service) addPaces(list []endpointWork) {
	for i := range list {
		p := s.opts.Work.Pace(list[i].id())
		list[i].Slowness, list[i].SlownessAge = p.Slowness, p.Age
	}
}

func (s *Service) recordPaces(list []endpointWork) {
	for i := range list {
		if w := &list[i]; w.Slowness != 0 {
			s.opts.Work.UpdatePace(w.id(), schedule.Pace{Slowness: w.Slowness, Age: w.SlownessAge})
		}
	}
}

// endpointPace is the pace of the endpoint with an index in the list of work of the same message. The paces follow the
// message as a second value: the codec rejects arrays of another length than its own, and ignores what follows a message.
type endpointPace struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Index    int
	Slowness float64
	Age      time.Duration
}

// pacesOf returns the paces in a list of work.
func pacesOf(work []endpointWork) []endpointPace {
	var paces []endpointPace
	for i := range work {
		if w := &work[i]; w.Slowness > 0 {
			paces = append(paces, endpointPace{Index: i, Slowness: w.Slowness, Age: w.SlownessAge})
		}
	}
	return paces
}

// setPaces sets the paces in a list of work.
func setPaces(work []endpointWork, paces []endpointPace) {
	for _, p := range paces {
		if p.Index >= 0 && p.Index < len(work) {
			work[p.Index].Slowness, work[p.Index].SlownessAge = p.Slowness, p.Age
		}
	}
}

// endpointWorks is a list of work to which paces refer by index. An element that cannot be decoded hides no other.
type endpointWorks []endpointWork

// DecodeMsgpack implements msgpack.CustomDecoder. An element that cannot be decoded keeps its place and has no name.
func (l *endpointWorks) DecodeMsgpack(dec *msgpack.Decoder) error {
	return codec.DecodeList(dec, (*[]endpointWork)(l), func(w endpointWork, err error) {
		if err != nil {
			w = endpointWork{}
		}
		*l = append(*l, w)
	})
}

// readable returns the elements that were decoded.
func (l endpointWorks) readable() endpointWorks {
	return slices.DeleteFunc(l, func(w endpointWork) bool { return w.Name == "" })
}
