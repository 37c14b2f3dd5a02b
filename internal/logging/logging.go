// Package logging makes the process log: one line of key=value pairs for each event.
package logging

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// New makes a logger that writes lines at or above level to w.
// Levels are debug, info, warn and error.
func New(w io.Writer, level string) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fault.Wrap(err, fault.Malformed, "set log.level to debug, info, warn or error", "log level")
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), lvl)
	return zap.New(core), nil
}
