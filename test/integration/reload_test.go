package integration

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/test/fleet"
)

// TestHangupReloadsSettingsWithoutEndingRequests guards against the default action of SIGHUP, which ends the process.
func TestHangupReloadsSettingsWithoutEndingRequests(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	d := f.Daemon(vm1)
	stream := make(chan []experiment.Outcome)
	go func() { stream <- runConcurrently(8, func(i int) experiment.Outcome { return f.chat(vm1, i, 100) }) }()
	f.awaitDecoding()
	f.must(f.Signal(vm1, syscall.SIGHUP))
	f.awaitLogLine(d, "settings reloaded")
	f.must(os.WriteFile(d.SettingsPath(), []byte("not TOML"), 0o600))
	f.must(f.Signal(vm1, syscall.SIGHUP))
	f.awaitLogLine(d, "settings not reloaded")
	if outs := <-stream; countComplete(outs) != len(outs) {
		t.Errorf("%d of %d responses complete: %+v", countComplete(outs), len(outs), outs)
	}
	f.awaitCompleteResponse(vm1)
}

func (f *testFleet) awaitLogLine(d *fleet.Daemon, text string) {
	f.t.Helper()
	f.await(text+" in the log of "+d.VM, func() bool {
		raw, err := os.ReadFile(d.LogPath())
		f.must(err)
		return bytes.Contains(raw, []byte(text)) || !d.Alive()
	})
	if !d.Alive() {
		f.t.Fatalf("%s ended", d.VM)
	}
}

const ownSettings = `
[vm]
name = "vm"
data_centre = "a"
region = "r"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operator = "127.0.0.1:0"
[platform]
address = "127.0.0.1:1"
`

const platformSettings = `
nodeName=vm
zone=a
ip=127.0.0.1
listen.front=127.0.0.1:0
listen.ready=127.0.0.1:0
provider.address=127.0.0.1:1
`

// TestSignalsDuringTheStartAreNotLost guards against signals that end the process before it handles them: SIGHUP must not end it, and
// SIGTERM must stop it gracefully. The settings file is a named pipe, so that the process is reading it when the signal comes.
func TestSignalsDuringTheStartAreNotLost(t *testing.T) {
	forms := map[string]struct {
		args     func(settings string) []string
		contents string
	}{
		"settings file": {func(settings string) []string { return []string{settings} }, ownSettings},
		"platform":      {func(string) []string { return []string{"platform"} }, platformSettings},
	}
	for form, tc := range forms {
		for _, signals := range [][]syscall.Signal{{syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGTERM}} {
			t.Run(form+" "+signals[0].String(), func(t *testing.T) {
				settings := filepath.Join(t.TempDir(), "settings")
				if err := syscall.Mkfifo(settings, 0o600); err != nil {
					t.Fatal(err)
				}
				cmd := exec.Command(daemonBinary, tc.args(settings)...)
				cmd.Env = append(os.Environ(), "FULMARTIDE_NODE_FILE="+settings)
				cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
				var log bytes.Buffer
				cmd.Stdout, cmd.Stderr = &log, &log
				if err := cmd.Start(); err != nil {
					t.Fatal(err)
				}
				out, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns when the process has opened the file
				if err != nil {
					t.Fatal(err)
				}
				for _, sig := range signals {
					if err := cmd.Process.Signal(sig); err != nil {
						t.Error(err)
					}
				}
				regular := filepath.Join(t.TempDir(), "settings") // for the reload at SIGHUP
				if err := errors.Join(os.WriteFile(regular, []byte(tc.contents), 0o600), os.Rename(regular, settings)); err != nil {
					t.Fatal(err)
				}
				_, _ = out.WriteString(tc.contents)
				_ = out.Close()
				if err := cmd.Wait(); err != nil || !strings.Contains(log.String(), "msg=stopped") {
					t.Errorf("%v; log:\n%s", err, &log)
				}
			})
		}
	}
}
