package daemon

import (
	"context"
	"os"
	"reflect"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/logging"
	"github.com/fulmartide/fulmartide/internal/settings"
)

// Reload specifies how a running daemon reads its settings file again.
type Reload struct {
	// Signals receives a value each time the file is to be read.
	Signals <-chan os.Signal
	// Path is the path of the settings file.
	Path string
	// LogLevel is the level of the daemon's log.
	LogLevel zap.AtomicLevel
}

// reloadOnSignals reads the settings file at each signal until ctx ends.
func (d *daemon) reloadOnSignals(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.reload.Signals:
			d.reloadSettings()
		}
	}
}

// reloadSettings applies the log level of the settings file. All other settings take effect at the next start. If the file is
// invalid, the previous settings stay in force.
func (d *daemon) reloadSettings() {
	s, level, err := d.reload.read()
	if err != nil {
		d.log.Error("settings not reloaded; the previous ones stay in force", zap.Error(err))
		return
	}
	d.reload.LogLevel.SetLevel(level.Level())
	s.Log = d.settings.Log
	d.log.Info("settings reloaded", zap.Stringer("log_level", level), zap.Bool("restart_needed", !reflect.DeepEqual(s, d.settings)))
}

func (r Reload) read() (settings.Settings, zap.AtomicLevel, error) {
	s, err := settings.Load(r.Path)
	if err != nil {
		return s, zap.AtomicLevel{}, err
	}
	level, err := logging.ParseLevel(s.Log.Level)
	return s, level, err
}
