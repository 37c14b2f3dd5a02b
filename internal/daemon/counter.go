package daemon

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmartide/fulmartide/internal/peer"
)

// maxKinds is the size of the counters' arrays. It must be greater than every peer.Kind, because a
// larger kind would be counted as another one.
const maxKinds = 32

// frameCounter counts the frames between VMs and their bytes by direction and kind.
type frameCounter struct {
	set    *metrics.Set
	frames [2][maxKinds]atomic.Uint64
	bytes  [2][maxKinds]atomic.Uint64
}

var directions = [2]string{"received", "sent"}

func newFrameCounter() *frameCounter {
	c := &frameCounter{set: metrics.NewSet()}
	for dir, name := range directions {
		for kind := range maxKinds {
			frames, bytes := &c.frames[dir][kind], &c.bytes[dir][kind]
			label := fmt.Sprintf(`{direction=%q,kind="%d"}`, name, kind)
			c.set.NewGauge("fulmartide_peer_frames_total"+label, func() float64 { return float64(frames.Load()) })
			c.set.NewGauge("fulmartide_peer_bytes_total"+label, func() float64 { return float64(bytes.Load()) })
		}
	}
	return c
}

func (c *frameCounter) count(sent bool, kind peer.Kind, bytes int) {
	dir := 0
	if sent {
		dir = 1
	}
	k := int(kind) % maxKinds
	c.frames[dir][k].Add(1)
	c.bytes[dir][k].Add(uint64(bytes))
}
