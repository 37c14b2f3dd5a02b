package ledger

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmartide/fulmartide/internal/fault"
)

var batchRecords = metrics.NewHistogram("fulmartide_ledger_batch_records")

// countStore counts a platform call by its end.
func countStore(call string, err error) {
	name := fmt.Sprintf(`fulmartide_ledger_store_calls_total{call=%q,end=%q}`, call, endOf(err))
	metrics.GetOrCreateCounter(name).Inc()
}

// countOperation counts an operation of this VM's callers by its end.
func countOperation(kind operationKind, r result) {
	end := endOf(r.err)
	if r.outcome != nil {
		end = "repeated"
	}
	name := fmt.Sprintf(`fulmartide_ledger_operations_total{operation=%q,end=%q}`, kind, end)
	metrics.GetOrCreateCounter(name).Inc()
}

func endOf(err error) string {
	if err == nil {
		return "ok"
	}
	return string(fault.KindOf(err))
}
