// Package logging creates the process logger, which writes one logfmt line for each event.
package logging

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// New returns a logger that writes events at or above level to w. The levels are debug, info, warn and
// error.
func New(w io.Writer, level string) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fault.Wrap(err, fault.Malformed, "set log.level to debug, info, warn or error", "log level")
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	core := errorTextCore{zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), lvl)}
	return zap.New(core), nil
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
