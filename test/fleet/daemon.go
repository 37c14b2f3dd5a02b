package fleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/fulmartide/fulmartide/internal/settings"
)

const (
	startTimeout      = 20 * time.Second
	stopGrace         = 10 * time.Second
	readyPollInterval = 10 * time.Millisecond
)

// Daemon is one fulmartided process.
type Daemon struct {
	VM         string
	DataCentre string
	// Callers, Peers and Operator are the addresses on which the process listens.
	Callers, Peers, Operator netip.AddrPort

	cmd      *exec.Cmd
	exited   chan struct{}
	err      error
	log      *os.File
	settings string
}

// PID returns the process ID.
func (d *Daemon) PID() int { return d.cmd.Process.Pid }

// LogPath returns the path of the process's log file.
func (d *Daemon) LogPath() string { return d.log.Name() }

// SettingsPath returns the path of the process's settings file.
func (d *Daemon) SettingsPath() string { return d.settings }

// launch starts a process and waits until it listens.
func launch(ctx context.Context, binary, dir string, s settings.Settings) (*Daemon, error) {
	raw, err := toml.Marshal(s)
	if err != nil {
		return nil, err
	}
	baseName := fmt.Sprintf("%s-%d", s.VM.Name, time.Now().UnixNano())
	path := filepath.Join(dir, baseName+".toml")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, baseName+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(binary, path)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	d := &Daemon{VM: s.VM.Name, DataCentre: s.VM.DataCentre, cmd: cmd, exited: make(chan struct{}), log: log, settings: path}
	listening := make(chan string, 1)
	go d.copyLog(stderr, listening)
	return d, d.awaitListening(ctx, listening)
}

// copyLog copies the process's log to the file, sends the line with the addresses to listening, and
// reaps the process.
func (d *Daemon) copyLog(stderr io.Reader, listening chan<- string) {
	defer close(d.exited)
	lines := bufio.NewReader(stderr)
	found := false
	for {
		line, err := lines.ReadString('\n')
		_, _ = d.log.WriteString(line)
		if !found && strings.Contains(line, "msg=listening") {
			found = true
			listening <- line
		}
		if err != nil {
			break
		}
	}
	d.err = d.cmd.Wait()
	_ = d.log.Close()
}

func (d *Daemon) awaitListening(ctx context.Context, listening <-chan string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	select {
	case line := <-listening:
		return d.parseListening(line)
	case <-d.exited:
		return fmt.Errorf("%s exited before it was listening: %w; log %s (set FULMARTIDE_KEEP_LOGS to keep it)",
			d.VM, d.err, d.LogPath())
	case <-ctx.Done():
		_ = d.cmd.Process.Kill()
		return fmt.Errorf("%s did not start listening: %w; log %s (set FULMARTIDE_KEEP_LOGS to keep it)",
			d.VM, ctx.Err(), d.LogPath())
	}
}

func (d *Daemon) parseListening(line string) error {
	fields := map[string]*netip.AddrPort{"callers": &d.Callers, "peers": &d.Peers, "operator": &d.Operator}
	for _, word := range strings.Fields(line) {
		key, value, _ := strings.Cut(word, "=")
		if target := fields[key]; target != nil {
			addr, err := netip.ParseAddrPort(strings.Trim(value, `"`))
			if err != nil {
				return err
			}
			*target = addr
		}
	}
	if !d.Callers.IsValid() || !d.Peers.IsValid() || !d.Operator.IsValid() {
		return fmt.Errorf("%s: missing addresses in log line %q", d.VM, line)
	}
	return nil
}

// AwaitReady waits until the process reports that it is ready.
func (d *Daemon) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if d.Ready(ctx) {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-d.exited:
			return fmt.Errorf("%s exited before it was ready: %w; log %s (set FULMARTIDE_KEEP_LOGS to keep it)",
				d.VM, d.err, d.LogPath())
		case <-ctx.Done():
			return fmt.Errorf("%s did not become ready: %w; log %s (set FULMARTIDE_KEEP_LOGS to keep it)",
				d.VM, ctx.Err(), d.LogPath())
		}
	}
}

// Ready reports whether the process reports that it is ready.
func (d *Daemon) Ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Operator.String()+"/readyz", nil)
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

// Alive reports whether the process has not exited.
func (d *Daemon) Alive() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// Stopped reports whether the process has been paused. A signal that is sent before may be received first.
func (d *Daemon) Stopped() bool { return strings.HasPrefix(d.status("State"), "T") }

// SignalPending reports whether a signal was sent to the process that it has not received, as it is paused.
func (d *Daemon) SignalPending(sig syscall.Signal) bool {
	pending, err := strconv.ParseUint(d.status("ShdPnd"), 16, 64)
	return err == nil && pending&(1<<(sig-1)) != 0
}

// status returns what the kernel says of the process under a name, empty if it has ended.
func (d *Daemon) status(name string) string {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.PID()))
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

func (d *Daemon) sendSignal(sig syscall.Signal) error {
	err := d.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// terminate requests a graceful stop and returns the process's exit error. After the timeout it
// kills the process.
func (d *Daemon) terminate(timeout time.Duration) error {
	if err := d.sendSignal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-d.exited:
		return d.err
	case <-time.After(timeout):
		_ = d.sendSignal(syscall.SIGKILL)
		<-d.exited
		return fmt.Errorf("%s did not stop within %s", d.VM, timeout)
	}
}
