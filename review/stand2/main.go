// Command stand2 plays the scripts of the second review: it starts the system's processes before small stand-ins of the store, the servers and
// the clients, and exits with 1 if a rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// cases are the scripts by name.
var cases = map[string]func(*run) error{
	"settings": playSettings,
	"foreign":  playForeign,
	"field":    playField,
	"freeze":   playFreeze,
	"order":    playOrder,
}

// run is one play of a case.
type run struct {
	fleet *fleet
	// trouble is false if the case is played without the disruption.
	trouble bool
	began   time.Time

	mu     sync.Mutex
	record *os.File
}

// note writes a line to record.txt.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// maxRun bounds a run.
const maxRun = 110 * time.Second

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		return 2
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](r) }()
	select {
	case err = <-done:
	case <-signals:
		err = errors.New("ended by a signal")
	case <-time.After(maxRun):
		err = errors.New("not done in time")
	}
	if r.fleet != nil {
		r.fleet.stopAll(os.Getenv("KEEP") != "")
		if os.Getenv("KEEP") != "" {
			fmt.Println("kept", r.fleet.dir)
		}
	}
	switch {
	case err == nil:
		r.note("the rule held")
		return 0
	case errors.Is(err, errBroken):
		r.note("%v", err)
		fmt.Println(err)
		return 1
	default:
		r.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
}
