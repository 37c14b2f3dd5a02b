package ledger

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmartide/fulmartide/internal/fault"
)

var batchRecords = metrics.NewHistogram("fulmartide_ledger_batch_records")

// countStoreCall counts a call to the object store by its result.
func countStoreCall(call string, err error) {
	name := fmt.Sprintf(`fulmartide_ledger_store_calls_total{call=%q,end=%q}`, call, endLabel(err))
	metrics.GetOrCreateCounter(name).Inc()
}

// countOperation counts an operation of a local caller by its result.
func countOperation(kind operationKind, r result) {
	end := endLabel(r.err)
	if r.outcome != nil {
		end = "repeated"
	}
	name := fmt.Sprintf(`fulmartide_ledger_operations_total{operation=%q,end=%q}`, kind, end)
	metrics.GetOrCreateCounter(name).Inc()
}

func endLabel(err error) string {
	if err == nil {
		return "ok"
	}
	return string(fault.KindOf(err))
}
