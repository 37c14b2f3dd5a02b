// Package logging creates the process logger, which writes one logfmt line for each event.
package logging

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// ParseLevel returns the level debug, info, warn or error. It can be changed while a logger uses it.
func ParseLevel(level string) (zap.AtomicLevel, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	return parsed, fault.Wrap(err, fault.Malformed, "set log.level to debug, info, warn or error", "log level")
}

// New returns a logger that writes events at or above level to w.
func New(w io.Writer, level zap.AtomicLevel) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	core := errorTextCore{zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), level)}
	return zap.New(core)
}

// errorTextCore writes only the message of an error, without the stack trace that package fault adds.
type errorTextCore struct{ zapcore.Core }

func (p errorTextCore) With(fields []zap.Field) zapcore.Core {
	return errorTextCore{p.Core.With(errorsAsText(fields))}
}

func (p errorTextCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if p.Enabled(e.Level) {
		return ce.AddCore(e, p)
	}
	return ce
}

func (p errorTextCore) Write(e zapcore.Entry, fields []zap.Field) error {
	return p.Core.Write(e, errorsAsText(fields))
}

func errorsAsText(fields []zap.Field) []zap.Field {
	out := make([]zap.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out[i] = f
	}
	return out
}
