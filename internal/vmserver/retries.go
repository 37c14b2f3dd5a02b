package vmserver

import "github.com/fulmartide/fulmartide/internal/admission"

// observeRetryGrants creates the metrics of retries that VMs grant each other.
func (p *Process) observeRetryGrants() {
	for name, value := range map[string]func(t admission.GrantTotals) float64{
		`fulmartide_retry_grants{kind="given"}`:             func(t admission.GrantTotals) float64 { return t.Given },
		`fulmartide_retry_grants{kind="taken"}`:             func(t admission.GrantTotals) float64 { return t.Taken },
		`fulmartide_retry_grants{kind="used"}`:              func(t admission.GrantTotals) float64 { return t.Used },
		`fulmartide_retry_grant_requests{result="granted"}`: func(t admission.GrantTotals) float64 { return float64(t.Requests - t.Refused) },
		`fulmartide_retry_grant_requests{result="refused"}`: func(t admission.GrantTotals) float64 { return float64(t.Refused) },
		`fulmartide_retry_grants_late`:                      func(t admission.GrantTotals) float64 { return float64(t.Late) },
	} {
		p.set.NewGauge(name, func() float64 { return value(p.admission.GrantTotals()) })
	}
}
