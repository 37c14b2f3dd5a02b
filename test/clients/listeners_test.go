package clients_test

import "testing"

func TestClientsOverTheLimitsEndPlatformCallersListener(t *testing.T) {
	withstands(t, true, func(t *testing.T) target {
		callers, _, _ := startPlatformForm(t)
		return callers
	})
}

func TestClientsOverTheLimitsEndPlatformReadyListener(t *testing.T) {
	withstands(t, false, func(t *testing.T) target {
		_, ready, _ := startPlatformForm(t)
		return ready
	})
}

func TestClientsOverTheLimitsEndPlatformMetricsListener(t *testing.T) {
	withstands(t, false, func(t *testing.T) target {
		_, _, metrics := startPlatformForm(t)
		return metrics
	})
}

func TestClientsOverTheLimitsEndCallersListener(t *testing.T) {
	withstands(t, true, func(t *testing.T) target {
		callers, _ := startSettingsForm(t, false)
		return callers
	})
}

func TestClientsOverTheLimitsEndCallersListenerWithTLS(t *testing.T) {
	withstands(t, true, func(t *testing.T) target {
		callers, _ := startSettingsForm(t, true)
		return callers
	})
}

func TestClientsOverTheLimitsEndOperatorListener(t *testing.T) {
	withstands(t, false, func(t *testing.T) target {
		_, operator := startSettingsForm(t, false)
		return operator
	})
}
