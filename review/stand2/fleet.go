package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is one process of the system.
type daemon struct {
	name     string
	ip       string
	zone     string
	front    string
	ready    string
	internal int
	settings string
	log      string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	started int
}

// fleet is a small deployment: a store, servers and daemons on loopback addresses.
type fleet struct {
	dir     string
	program string
	store   *store
	daemons []*daemon
	mu      sync.Mutex
	stopped bool
	// extra are further fields of the settings, which precede the others.
	extra map[string]string
}

var zoneNames = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// loopback returns a loopback address that is drawn for this run, so that other programs on this machine have others.
var loopback = func() func(n int) string {
	a, b := 16+rand.IntN(200), 1+rand.IntN(250)
	return func(n int) string { return fmt.Sprintf("127.%d.%d.%d", a, b, n) }
}()

func freePort(ip string) int {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port
}

// portsFree reports whether the two ports that the system uses from first on are free.
func portsFree(ip string, first int) bool {
	for port := first; port < first+2; port++ {
		ln, err := net.Listen("tcp", ip+":"+strconv.Itoa(port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// newFleet creates a deployment of n daemons that are not started yet.
func newFleet(n int) (*fleet, error) {
	program, err := filepath.Abs("target/fulmartided")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, errors.New("build the deploy file first: " + err.Error())
	}
	dir, err := os.MkdirTemp("", "fulmartide-review-")
	if err != nil {
		return nil, err
	}
	s, err := newStore(loopback(1) + ":0")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: program, store: s, extra: map[string]string{}}
	for i := range n {
		ip := loopback(10 + i)
		d := &daemon{name: "front-" + strconv.Itoa(i+1), ip: ip, zone: zoneNames[i%len(zoneNames)]}
		d.front, d.ready = ip+":"+strconv.Itoa(freePort(ip)), ip+":"+strconv.Itoa(freePort(ip))
		for d.internal = 20000; !portsFree(ip, d.internal); d.internal += 16 {
			continue
		}
		d.settings, d.log = filepath.Join(dir, d.name+".conf"), filepath.Join(dir, d.name+".log")
		f.daemons = append(f.daemons, d)
	}
	return f, nil
}

const settingsText = `role=router
machineClass=front
serves=front
region=region-1
zones.zone-a=region-1
zones.zone-b=region-1
zones.zone-c=region-1
zones.zone-d=region-1
countsAsLoss=false
limits.cpuShare=0.4
limits.cpuCores=1
limits.memoryMb=134
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,quota,platform
faultTolerance.machines=2
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxSkewMs=5000
bounds.strictRevoke=false
bounds.revokeMs=5000
bounds.retryBudget=0.2
bounds.budgetWindowS=10
bounds.retrySlack=52
bounds.quotaWindowS=8
bounds.quotaOver=0.1
bounds.quotaSlack=190000
bounds.recoveryS=12
bounds.transitMs=120
bounds.againS=8.2
bounds.enforceFencing=false
bounds.leaseMs=3000
bounds.thawMs=300
provider.form=objects
provider.writesPerS=400
provider.readsPerS=2000
provider.historyS=20
provider.valueBytes=1048576
provider.ttlMinMs=1000
`

// writeSettings writes the settings file of a daemon.
func (f *fleet) writeSettings(d *daemon, first bool) error {
	text := ""
	for name, value := range f.extra {
		text += name + "=" + value + "\n"
	}
	text += settingsText + fmt.Sprintf("nodeName=%s\nip=%s\nzone=%s\nlisten.front=%s\nlisten.ready=%s\ninternalPorts=%d,%d\nbootstrap=%t\nprovider.address=%s\n",
		d.name, d.ip, d.zone, d.front, d.ready, d.internal, d.internal+15, first, f.store.address())
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts a daemon with the command of the deploy file.
func (f *fleet) start(d *daemon, first bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return errors.New("the deployment has been stopped")
	}
	if err := f.writeSettings(d, first); err != nil {
		return err
	}
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.program, "platform")
	cmd.Env = []string{"FULMARTIDE_NODE_FILE=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.ended = cmd, ended
	d.started++
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}()
	return nil
}

// startAll starts all daemons and waits until they say that they are ready.
func (f *fleet) startAll() error {
	for _, d := range f.daemons {
		if err := f.start(d, true); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, d := range f.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				return errors.New(d.name + " is not ready in time")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// signal sends a signal to a daemon.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// running reports whether the process of a daemon runs.
func (d *daemon) running() bool {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended == nil {
		return false
	}
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// stopAll ends all processes and removes the folder.
func (f *fleet) stopAll(keep bool) {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	for _, d := range f.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
	}
	for _, d := range f.daemons {
		d.mu.Lock()
		ended := d.ended
		d.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
	if !keep {
		_ = os.RemoveAll(f.dir)
	}
}

// tail returns the end of what a daemon has written.
func (d *daemon) tail() string {
	raw, err := os.ReadFile(d.log)
	if err != nil {
		return err.Error()
	}
	return strings.ReplaceAll(strings.TrimSpace(string(raw[max(0, len(raw)-300):])), "\n", "; ")
}
