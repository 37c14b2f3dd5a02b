package stand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Daemon is one machine of the system: the program of the deploy file in a process of its own.
type Daemon struct {
	Name  string
	Front string

	ready    string
	settings string
	log      string
	root     string
	cmd      *exec.Cmd
	done     chan struct{}
}

// Fleet is the machines of a small deployment.
type Fleet struct {
	Root    string // the repository
	Dir     string // a temporary folder
	Store   string // the store's address
	Zones   []string
	Daemons []*Daemon

	mu sync.Mutex
	// started are all machines that were started, closed is set once no further one may be.
	started []*Daemon
	closed  bool
}

// freePorts returns n free ports in a row.
func freePorts(n int) (int, error) {
	for range 200 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		first := ln.Addr().(*net.TCPAddr).Port
		_ = ln.Close()
		if first+n < 65000 && allFree(first, n) {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func allFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// internalPorts is the number of ports for communication between machines.
const internalPorts = 4

// startTries is how often a machine is started, with other ports each time, as another process may have taken one meanwhile.
// A machine whose ports are taken ends within endsWithin.
const (
	startTries = 5
	endsWithin = 500 * time.Millisecond
)

// Start starts machines of the given names, in zones in turn.
func (f *Fleet) Start(names []string) error {
	f.Daemons = make([]*Daemon, len(names))
	for range startTries {
		for i, name := range names {
			if d := f.Daemons[i]; d != nil && !d.Ended() {
				continue
			}
			d, err := f.add(name, f.Zones[i%len(f.Zones)])
			if err != nil {
				return err
			}
			f.Daemons[i] = d
		}
		time.Sleep(endsWithin)
		if !slices.ContainsFunc(f.Daemons, (*Daemon).Ended) {
			return nil
		}
	}
	return errors.New("a machine ends at its start")
}

// add writes the settings file of one more machine and starts it. The figures are those of the sheet of Hinokuni.
func (f *Fleet) add(name, zone string) (*Daemon, error) {
	first, err := freePorts(internalPorts + 2)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		Name: name, Front: fmt.Sprintf("127.0.0.1:%d", first+internalPorts), ready: fmt.Sprintf("127.0.0.1:%d", first+internalPorts+1),
		settings: filepath.Join(f.Dir, name+".conf"), log: filepath.Join(f.Dir, name+".log"), root: f.Root,
	}
	lines := []string{
		"nodeName=" + name, "role=router", "machineClass=front", "serves=front", "ip=127.0.0.1", "zone=" + zone, "region=kyushu",
		"listen.front=" + d.Front, "listen.ready=" + d.ready, fmt.Sprintf("internalPorts=%d,%d", first, first+internalPorts-1),
		"seedNodes=", "bootstrap=true", "countsAsLoss=false", "limits.cpuShare=0.4", "limits.cpuCores=1", "limits.memoryMb=284",
		"limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,quota,platform",
		"faultTolerance.machines=2", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackTimeoutMs=4000", "bounds.catchUpS=4",
		"bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250",
		"bounds.maxSkewMs=5000", "bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.retryBudget=0.2", "bounds.budgetWindowS=10",
		"bounds.retrySlack=52", "bounds.quotaWindowS=8", "bounds.quotaOver=0.1", "bounds.quotaSlack=190000", "bounds.recoveryS=12",
		"bounds.transitMs=120", "bounds.againS=10", "bounds.enforceFencing=false", "bounds.leaseMs=3000", "bounds.thawMs=300",
		"provider.address=" + f.Store, "provider.form=objects", "provider.writesPerS=400", "provider.readsPerS=2000", "provider.historyS=20",
		"provider.valueBytes=1048576", "provider.ttlMinMs=1000",
	}
	for _, z := range f.Zones {
		lines = append(lines, "zones."+z+"=kyushu")
	}
	if err := os.WriteFile(d.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, errors.New("the run is over")
	}
	if err := d.Start(); err != nil {
		return nil, err
	}
	f.started = append(f.started, d)
	return d, nil
}

// Start starts the process with the command of the deploy file.
func (d *Daemon) Start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/fulmartided", "platform")
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.root, out, out
	cmd.Env = []string{"FULMARTIDE_NODE_FILE=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.TempDir(), "LANG=C"}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(d.done)
	return nil
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) {
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// Kill kills the process and waits for its end.
func (d *Daemon) Kill() {
	d.Signal(syscall.SIGKILL)
	<-d.done
}

// Ended reports whether the process has ended.
func (d *Daemon) Ended() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// LogFile is the file with the output of the process.
func (d *Daemon) LogFile() string { return d.log }

// IsReady asks the machine once whether it is ready.
func (d *Daemon) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ready+"/v1/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all machines are ready.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, d := range f.Daemons {
		for !d.IsReady() {
			if time.Now().After(end) {
				return errors.New(d.Name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close kills all machines.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, d := range f.started {
		d.Kill()
	}
}

// Record is the file in which a script notes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	out   io.WriteCloser
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	out, err := os.Create(path)
	return &Record{out: out, began: time.Now()}, err
}

// Note adds a line.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.out.Close() }
