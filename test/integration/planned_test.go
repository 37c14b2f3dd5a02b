package integration

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/test/fleet"
	"github.com/fulmartide/fulmartide/test/wireconn"
)

var (
	plannedFirst = flag.Uint64("planned.first", 2, "first seed of the play of planned work")
	plannedSeeds = flag.Int("planned.seeds", 1, "number of consecutive seeds")
)

const (
	plannedCallers = 120
	plannedLength  = 7 * time.Second
	plannedWait    = 15 * time.Second
	// probeInterval is the platform's interval between readiness checks.
	probeInterval = time.Second
	// lossSlack is how long after its last byte a request may cross the close of its connection.
	lossSlack = 200 * time.Millisecond
	// maxPause is the longest pause of a process that counts as little processor time instead of a disturbance.
	maxPause = 100 * time.Millisecond
)

// plannedPlay plays planned work on a fleet. See docs/SOAK.md.
type plannedPlay struct {
	*testFleet
	seed  uint64
	calls []*plannedCall

	mu       sync.Mutex
	vms      map[string]*plannedVM
	pausedBy map[string][]time.Time // ends of pauses longer than maxPause, by VM
	draining sync.WaitGroup
}

// plannedVM is what the platform knows of a VM.
type plannedVM struct {
	out, stopping bool
	// stopped is closed when the VM is stopped, stoppedAt lists the times.
	stopped   chan struct{}
	stoppedAt []time.Time
}

// plannedCall is a request with what its caller saw of it.
type plannedCall struct {
	wireconn.Exchange
	vm, kind, key string
	idle          time.Duration
	status        int
	// refusal is the body of an answer that was no success, tail the end of a success. refused is set if that is an error of the router.
	refusal, tail string
	refused       bool
}

// TestPlannedWorkWithSettingsFiles guards against requests that are lost around planned work: SIGTERM with a restart, SIGHUP and
// configurations, in daemons with little processor time.
func TestPlannedWorkWithSettingsFiles(t *testing.T) {
	for i := range *plannedSeeds {
		seed := *plannedFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runPlannedWork(t, seed) })
	}
}

func runPlannedWork(t *testing.T, seed uint64) {
	t.Setenv("GOMAXPROCS", "1")
	layout := fleet.Partilha()
	layout.DataCentres = []fleet.DataCentre{{Name: "lisboa-a", VMs: 2, Prefill: 1, Decode: 2, Services: 2}, {Name: "porto-a", VMs: 1, Prefill: 1, Decode: 1, Services: 1}}
	p := &plannedPlay{testFleet: startFleet(t, layout, nil), seed: seed, vms: map[string]*plannedVM{}, pausedBy: map[string][]time.Time{}}
	for _, d := range p.Daemons() {
		p.vms[d.VM] = &plannedVM{stopped: make(chan struct{})}
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var background, callers sync.WaitGroup
	for i, d := range p.Daemons() {
		background.Go(func() { p.probe(ctx, d.VM) })
		if i > 0 {
			background.Go(func() { p.throttle(ctx, d.VM, p.random(200+i)) })
		}
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	for n := range plannedCallers {
		callers.Go(func() { p.call(callersCtx, n) })
	}
	p.work(ctx)
	p.draining.Wait()
	stopCallers()
	callers.Wait()
	stop()
	background.Wait()
	p.check()
}

func (p *plannedPlay) random(n int) *rand.Rand { return rand.New(rand.NewPCG(p.seed, uint64(n))) }

// work stops VMs, starts them again, sends SIGHUP and changes the configuration, in series and overlapping, but never stops all VMs.
func (p *plannedPlay) work(ctx context.Context) {
	random, names := p.random(1), []string{}
	for _, d := range p.Daemons() {
		names = append(names, d.VM)
	}
	for begin := time.Now(); time.Since(begin) < plannedLength; time.Sleep(time.Duration(100+random.IntN(600)) * time.Millisecond) {
		vm := names[random.IntN(len(names))]
		switch random.IntN(6) {
		case 0:
			p.must(p.Signal(vm, syscall.SIGHUP))
			continue
		case 1:
			p.must(p.EditConfiguration(func(d *configuration.Document) {
				r := d.Routes["lots"]
				r.DeadlineMillis = int64(5000 + random.IntN(5000))
				d.Routes["lots"] = r
			}))
			continue
		}
		if !p.beginStop(vm) {
			continue
		}
		p.draining.Go(func() {
			if err := p.Terminate(vm); err != nil {
				p.t.Errorf("%s: %v", vm, err)
			}
			p.endStop(vm)
			if err := p.Replace(ctx, vm); err != nil {
				p.t.Errorf("%s: %v", vm, err)
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.vms[vm].stopping = false
		})
	}
}

// beginStop reports whether a VM may be stopped now, and tells its callers.
func (p *plannedPlay) beginStop(vm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	serving := 0
	for _, v := range p.vms {
		if !v.stopping {
			serving++
		}
	}
	v := p.vms[vm]
	if v.stopping || serving == 1 {
		return false
	}
	v.stopping, v.stoppedAt = true, append(v.stoppedAt, time.Now())
	close(v.stopped)
	return true
}

func (p *plannedPlay) endStop(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm].stopped = make(chan struct{})
}

// probe takes a VM out of rotation after two failed readiness checks in a row.
func (p *plannedPlay) probe(ctx context.Context, vm string) {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for failures := 0; ctx.Err() == nil; <-tick.C {
		resp, err := client.Get("http://" + p.Daemon(vm).Operator.String() + "/readyz")
		failures++
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				failures = 0
			}
		}
		p.mu.Lock()
		p.vms[vm].out = failures >= 2
		p.mu.Unlock()
	}
}

// throttle pauses a process for most of each period, as a cap on its processor time does.
func (p *plannedPlay) throttle(ctx context.Context, vm string, random *rand.Rand) {
	for ctx.Err() == nil {
		from := time.Now()
		if err := p.Pause(vm); err != nil {
			p.t.Error(err)
		}
		time.Sleep(time.Duration(5+random.IntN(45)) * time.Millisecond)
		if err := p.Resume(vm); err != nil {
			p.t.Error(err)
		}
		if to := time.Now(); to.Sub(from) > maxPause {
			p.mu.Lock()
			p.pausedBy[vm] = append(p.pausedBy[vm], to)
			p.mu.Unlock()
		}
		time.Sleep(time.Duration(3+random.IntN(12)) * time.Millisecond)
	}
}

// call sends requests over a connection until that ends, then over another one.
func (p *plannedPlay) call(ctx context.Context, n int) {
	random := p.random(1000 + n)
	for ctx.Err() == nil {
		vm := p.pick(random)
		conn, err := wireconn.Dial(p.Daemon(vm).Callers.String())
		if err != nil {
			time.Sleep(time.Duration(20+random.IntN(80)) * time.Millisecond)
			continue
		}
		for isNew := true; ctx.Err() == nil; isNew = false {
			since := time.Now()
			if !p.rest(ctx, random, vm, conn, isNew) || !p.send(random, vm, conn, time.Since(since)) {
				break
			}
		}
		if len(conn.Unread()) > 0 {
			p.t.Errorf("%s sent %q with no request waiting", vm, conn.Unread())
		}
		conn.Close()
	}
}

// pick returns a random VM in rotation, or any if none is.
func (p *plannedPlay) pick(random *rand.Rand) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var in, all []string
	for _, d := range p.Daemons() {
		if all = append(all, d.VM); !p.vms[d.VM].out {
			in = append(in, d.VM)
		}
	}
	if len(in) == 0 {
		in = all
	}
	return in[random.IntN(len(in))]
}

// rest leaves a connection idle: not at all, for some time, or until some time after the next stop of its VM. A new
// connection waits no longer than a header may take.
func (p *plannedPlay) rest(ctx context.Context, random *rand.Rand, vm string, conn *wireconn.Conn, isNew bool) bool {
	upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	switch draw := random.IntN(6); {
	case draw == 0:
		return true
	case draw == 1:
		return conn.Rest(ctx, upTo(300*time.Millisecond))
	case draw == 2 || isNew:
		return conn.Rest(ctx, upTo(4*time.Second))
	}
	p.mu.Lock()
	stopped := p.vms[vm].stopped
	p.mu.Unlock()
	return conn.RestUntil(ctx, stopped) && conn.Rest(ctx, upTo([]time.Duration{500 * time.Millisecond, 3 * time.Second}[random.IntN(2)]))
}

// send sends a request and reports whether the connection may be used again.
func (p *plannedPlay) send(random *rand.Rand, vm string, conn *wireconn.Conn, idle time.Duration) bool {
	c := &plannedCall{vm: vm, kind: []string{"read", "commit", "commit", "chat"}[random.IntN(4)], idle: idle}
	method, path, body := http.MethodPost, p.layout.CommitPath, ""
	switch c.kind {
	case "read":
		method, path = http.MethodGet, p.layout.ReadPath
	case "commit":
		c.key = uuid()
		body = `{"commit":"` + c.key + `"}`
	case "chat":
		tokens := 3 + random.IntN(100)
		path, body = "/v1/chat/completions", fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"{tag:%s}{stop:%d}"}]}`,
			p.layout.ModelName, tokens+4, uuid(), tokens)
	}
	req, err := http.NewRequest(method, "http://"+p.Daemon(vm).Callers.String()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err) // the address and path are valid
	}
	req.Header.Set("Authorization", "Bearer "+fleet.Secret(p.layout.Workspaces[random.IntN(2)].Name))
	req.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	c.Exchange = wireconn.Exchange{
		Request: req, Shape: wireconn.Shape(random.IntN(int(wireconn.Shapes))), Pause: time.Duration(random.IntN(150)) * time.Millisecond, Until: time.Now().Add(plannedWait),
	}
	again := conn.Do(&c.Exchange, func(resp *http.Response) bool {
		raw, err := io.ReadAll(resp.Body)
		if c.status = resp.StatusCode; c.status != http.StatusOK {
			c.refusal = string(raw)
			return err == nil
		}
		c.tail = fmt.Sprintf("%q %v", raw[max(0, len(raw)-300):], err)
		c.refused = strings.HasPrefix(lastEvent(raw), `{"error":`)
		return err == nil && (c.kind != "chat" || c.refused || lastEvent(raw) == "[DONE]")
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, c)
	return again
}

// lastEvent returns the data of the last event of a stream.
func lastEvent(stream []byte) string {
	text := strings.TrimSpace(string(stream))
	return strings.TrimPrefix(text[strings.LastIndex(text, "\n")+1:], "data: ")
}

// check checks that each request whose last byte was written got a whole answer or a whole refusal, and that refusals as not run are true.
func (p *plannedPlay) check() {
	executions := map[string]int{}
	for _, s := range p.Services {
		for key, n := range s.Stats().Commits {
			executions[key] += n
		}
	}
	answered, refused, refusals, notWritten, crossed, disturbed, lost := 0, map[int]int{}, 0, 0, 0, 0, 0
	for _, c := range p.calls {
		ran, waited := executions[c.key] > 0, c.EndedAt.Sub(c.LastByteAt)
		began := !c.FirstByteAt.IsZero()
		switch {
		case c.Whole && c.status == http.StatusOK && !c.refused:
			answered++
		case c.Whole:
			refusals++
			refused[c.status]++
			if ran && strings.Contains(c.refusal, string(fault.NotExecuted)) {
				p.t.Errorf("refused as not run, but it ran: %s", p.trace(c))
			}
		case c.LastByteAt.IsZero():
			notWritten++
		case !ran && !began && c.End != "" && waited <= lossSlack:
			crossed++
		case !ran && !began && p.paused(c):
			disturbed++
		default:
			lost++
			p.t.Errorf("neither a whole answer nor a refusal, ran: %v: %s", ran, p.trace(c))
		}
	}
	p.t.Logf("calls: %d answered, %d refused %v, %d lost; not counted: %d crossed a close, %d at pauses over %v, %d not written",
		answered, refusals, refused, lost, crossed, disturbed, maxPause, notWritten)
	if answered*4 < answered+refusals+lost || answered == 0 {
		p.t.Errorf("%d of %d calls were answered, want at least a quarter", answered, answered+refusals+lost)
	}
}

// paused reports whether the VM of a call was paused for longer than maxPause during the call.
func (p *plannedPlay) paused(c *plannedCall) bool {
	for _, end := range p.pausedBy[c.vm] {
		if end.After(c.LastByteAt) && end.Before(c.EndedAt.Add(maxPause)) {
			return true
		}
	}
	return false
}

func (p *plannedPlay) trace(c *plannedCall) string {
	at := func(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(p.begin).Seconds()) }
	out := fmt.Sprintf("%s %s to %s, %s, after %v idle: last byte at %s, first byte of the answer at %s, end (%s) at %s, status %d %s%s; SIGTERM at", c.kind, c.key, c.vm,
		c.Shape, c.idle, at(c.LastByteAt), at(c.FirstByteAt), c.End, at(c.EndedAt), c.status, c.refusal, c.tail)
	for _, t := range p.vms[c.vm].stoppedAt {
		out += " " + at(t)
	}
	return out
}
