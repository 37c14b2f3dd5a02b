package dispatch

import (
	"errors"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmartide/fulmartide/internal/bodybuffer"
)

// Guards against streams without line ends that hold more than the memory for bodies, all together.
func TestUnfinishedEventsOfAllStreamsStayWithinTheBudget(t *testing.T) {
	const streams, limit = 200, 16 << 20
	budget := bodybuffer.NewBudget(limit, metrics.NewSet())
	piece := make([]byte, readBufferBytes)
	buffers, memories := make([]eventBuffer, streams), make([]eventMemory, streams)
	refused := 0
	for i := range streams {
		memories[i].budget = budget
		for range maxEventBytes / readBufferBytes {
			if err := memories[i].makeRoom(&buffers[i], len(piece)); err != nil {
				if !errors.Is(err, errEventMemory) {
					t.Fatal(err)
				}
				refused++
				break
			}
			buffers[i].write(piece)
		}
	}
	held := 0
	for i := range buffers {
		held += cap(buffers[i].pending)
		memories[i].release()
	}
	if most := limit + streams*uncountedEventBytes; held > most || refused == 0 {
		t.Errorf("%d bytes held, want at most %d; %d streams refused", held, most, refused)
	}
	if budget.Used() != 0 {
		t.Errorf("%d bytes not returned", budget.Used())
	}
}
