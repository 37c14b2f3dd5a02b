package activeconfig

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestMessageThatWaitedDuringAPauseDoesNotRenewTheTable guards against a paused VM that takes its table for younger than it is, and sends
// to endpoints that have long been leaving.
func TestMessageThatWaitedDuringAPauseDoesNotRenewTheTable(t *testing.T) {
	const pause = 2400 * time.Millisecond
	c := &fakeClock{now: clock.Instant(time.Hour)}
	var running clock.Running
	st := New(Options{
		Clock: c, Log: zap.NewNop(), OnChange: func(*traffic.Configuration, traffic.Endpoints) {},
		LateBy: func() time.Duration { return running.LateBy(c.now) },
	})
	running.Tick(c.now)
	st.ApplyEndpoints(table(1, "a"), c.now, fromStore)
	news := traffic.Freshness{Versions: st.Versions(), Reading: traffic.Reading{VM: ident.VM{Name: "other", Incarnation: 1}, Number: 1}}
	c.now = c.now.Add(pause)
	st.Confirm(news)
	if age := st.Age(); age < pause {
		t.Errorf("the table is %v old after a message that may have waited %v", age, pause)
	}
	running.Tick(c.now)
	c.now = c.now.Add(50 * time.Millisecond)
	news.Reading.Number++
	st.Confirm(news)
	if age := st.Age(); age < pause {
		t.Errorf("the table is %v old after a second message that may have waited %v", age, pause)
	}
	for range 5 {
		c.now = c.now.Add(100 * time.Millisecond)
		running.Tick(c.now)
	}
	news.Reading.Number++
	st.Confirm(news)
	if age := st.Age(); age != 0 {
		t.Errorf("the table is %v old after a message that did not wait", age)
	}
}
