package relay

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// fieldText gives a log field's value as text.
func fieldText(f zap.Field) string {
	if f.Type == zapcore.StringType {
		return f.String
	}
	enc := zapcore.NewMapObjectEncoder()
	f.AddTo(enc)
	return fmt.Sprint(enc.Fields[f.Key])
}
