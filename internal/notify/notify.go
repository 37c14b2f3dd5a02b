// Package notify wakes goroutines by channels of capacity 1.
package notify

// Signal wakes the receiver of a channel of capacity 1. It does not block: signals that follow each other before the
// receiver has taken one are one signal.
func Signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
