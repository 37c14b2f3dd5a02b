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
	core := plainErrors{zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), lvl)}
	return zap.New(core), nil
}

// plainErrors writes an error as its message only, without the stack that typed errors carry.
type plainErrors struct{ zapcore.Core }

func (p plainErrors) With(fields []zap.Field) zapcore.Core {
	return plainErrors{p.Core.With(plain(fields))}
}

func (p plainErrors) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if p.Enabled(e.Level) {
		return ce.AddCore(e, p)
	}
	return ce
}

func (p plainErrors) Write(e zapcore.Entry, fields []zap.Field) error {
	return p.Core.Write(e, plain(fields))
}

func plain(fields []zap.Field) []zap.Field {
	out := make([]zap.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out[i] = f
	}
	return out
}
