package relay

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// fieldText formats the value of a log field as text.
func fieldText(f zap.Field) string {
	if f.Type == zapcore.StringType {
		return f.String
	}
	enc := zapcore.NewMapObjectEncoder()
	f.AddTo(enc)
	return fmt.Sprint(enc.Fields[f.Key])
}
