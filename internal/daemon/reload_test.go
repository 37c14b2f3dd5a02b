package daemon

import (
	"os"
	"path/filepath"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fulmartide/fulmartide/internal/settings"
)

const testSettings = `
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

// TestReload guards against a reload that changes settings which the daemon cannot change while it runs, or does not say so, and against
// one that applies an invalid file in part.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	initial, err := settings.Parse(path, []byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	core, logged := observer.New(zap.InfoLevel)
	d := &daemon{settings: initial, log: zap.New(core), reload: Reload{Path: path, LogLevel: zap.NewAtomicLevel()}}
	cases := []struct {
		file, message string
		level         string
		restartNeeded bool
	}{
		{testSettings + "[log]\nlevel = \"debug\"\n", "settings reloaded", "debug", false},
		{testSettings + "[log]\nlevel = \"loud\"\n[limits]\nrequests = 7\n", "settings not reloaded; the previous ones stay in force", "debug", false},
		{"[vm", "settings not reloaded; the previous ones stay in force", "debug", false},
		{testSettings + "[limits]\nrequests = 7\n", "settings reloaded", "info", true},
	}
	for _, tc := range cases {
		if err := os.WriteFile(path, []byte(tc.file), 0o600); err != nil {
			t.Fatal(err)
		}
		d.reloadSettings()
		entry := logged.TakeAll()[0]
		restartNeeded, _ := entry.ContextMap()["restart_needed"].(bool)
		if entry.Message != tc.message || restartNeeded != tc.restartNeeded || d.reload.LogLevel.String() != tc.level {
			t.Errorf("%s\nlog %q, %v, level %s", tc.file, entry.Message, entry.ContextMap(), d.reload.LogLevel)
		}
	}
	if d.settings.Limits.Requests != initial.Limits.Requests {
		t.Errorf("%d requests", d.settings.Limits.Requests)
	}
}
