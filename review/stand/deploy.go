package stand

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Names and figures that the scripts share.
const (
	Host = "ficu95.example"
	Key  = "i9n73hh2b9wu3fexd9dn"
	// PlainService is the application service, PlainPath the prefix of its route whose requests may run once at most.
	PlainService, PlainPath = "wuno96b", "/puxa403/"
	// EngineService is the model service, EnginePath the prefix of its route, whose streams may be resumed.
	EngineService, EnginePath = "huvo11a", "/lohu930/"
	// PlainDeadline is the time that a client of the application service waits.
	PlainDeadline = 600 * time.Millisecond
	// StreamDeadline is the time that a client of the model service waits.
	StreamDeadline = 14 * time.Second
)

// Exit codes of the scripts.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Zones are the zones of the deployment.
var Zones = []string{"fukuoka-dc", "kumamoto-dc", "kagoshima-dc"}

// Configuration is what the operator writes.
func Configuration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "r-1", "host": Host, "pathPrefix": PlainPath, "kind": "non_idempotent", "timeoutMs": PlainDeadline.Milliseconds(),
				"targetLatencyMs": 100, "priority": 0, "service": PlainService, "maxAttempts": 2, "public": false, "sticky": false, "resumable": false,
			},
			map[string]any{
				"name": "r-2", "host": Host, "pathPrefix": EnginePath, "kind": "streaming", "timeoutMs": StreamDeadline.Milliseconds(),
				"targetLatencyMs": 900, "priority": 1, "service": EngineService, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true,
				"gapAimMs": 300,
			},
		},
		"services": []any{
			map[string]any{"name": PlainService, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": EngineService, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kvCapacity": 51430, "kvTokenBytes": 35136, "linkMbps": 330000.0, "moves": true, "backups": true, "stride": 6, "most": 12,
				"handleTtlS": 0.5, "stageSwitchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": []any{map[string]any{"name": "m"}},
			}},
		},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{Key}, "ratePerS": 200000, "burst": 400000, "plainTokens": 200}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 4000, "idleTimeoutMs": 8000},
	}
}

// Play is one run of a script.
type Play struct {
	Record *Record
	Store  *Store
	Fleet  *Fleet
	// Trouble is set unless the disruption is left out.
	Trouble bool

	dir string
}

// Run runs a case and ends the process with its exit code. The arguments of the process are the repository and the folder of
// the case.
func Run(play func(p *Play) (int, error)) {
	if len(os.Args) < 3 {
		fmt.Println("usage: PROGRAM REPOSITORY FOLDER")
		os.Exit(NotRun)
	}
	code, err := run(play, os.Args[1], os.Args[2])
	if err != nil {
		fmt.Println("could not run:", err)
		code = NotRun
	}
	os.Exit(code)
}

// maxTime is how long a run may take at most. parentPeriod is the time between two checks whether the script that started the
// process is still there.
const (
	maxTime      = 100 * time.Second
	parentPeriod = 200 * time.Millisecond
)

var (
	errSignal  = errors.New("ended by a signal")
	errOrphan  = errors.New("the script that started this process has ended")
	errTooLong = errors.New("the run takes too long")
)

// run runs a case. It ends all processes of the case, and removes its files, also if it is ended early.
func run(play func(p *Play) (int, error), root, folder string) (int, error) {
	p := &Play{Trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if p.Record, err = NewRecord(folder + "/record.txt"); err != nil {
		return NotRun, err
	}
	defer p.Record.Close()
	if p.dir, err = os.MkdirTemp("", "review"); err != nil {
		return NotRun, err
	}
	defer func() { _ = os.RemoveAll(p.dir) }()
	if p.Store, err = NewStore(); err != nil {
		return NotRun, err
	}
	defer p.Store.Close()
	p.Fleet = &Fleet{Root: root, Dir: p.dir, Store: p.Store.Addr, Zones: Zones}
	defer p.Fleet.Close()
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := play(p)
		done <- result{code, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	parent, check, tooLong := os.Getppid(), time.NewTicker(parentPeriod), time.After(maxTime)
	defer check.Stop()
	for {
		select {
		case r := <-done:
			return r.code, r.err
		case <-signals:
			return NotRun, errSignal
		case <-tooLong:
			return NotRun, errTooLong
		case <-check.C:
			if os.Getppid() != parent {
				return NotRun, errOrphan
			}
		}
	}
}

// startTime is how long the machines may take to become ready, settleTime how long the script waits then.
const (
	startTime  = 15 * time.Second
	settleTime = 2 * time.Second
)

// StartMachines writes the configuration and starts n machines.
func (p *Play) StartMachines(n int) error {
	if err := p.Store.Put("config", "main", Configuration()); err != nil {
		return err
	}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("front-%s-%d", Zones[i%len(Zones)], i/len(Zones)+1))
	}
	if err := p.Fleet.Start(names); err != nil {
		return err
	}
	if err := p.Fleet.AwaitReady(startTime); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}
