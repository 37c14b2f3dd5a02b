// Command 5 plays a case of the review; see claim.txt.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/review/stand"
)

const (
	machines = 3
	clients  = 12
	pause    = 250 * time.Millisecond
	length   = 28 * time.Second
	// The operator takes tenants away from removeAfter on, one each removePause.
	tenants     = 5
	removeAfter = 4 * time.Second
	removePause = 2 * time.Second
	// configApply is the time that a configuration has to come into force.
	configApply = 2 * time.Second
	// noKey is a key that no configuration holds.
	noKey = "k0c1unknown"
	// shown is the number of requests that are shown one by one.
	shown = 5
)

func main() { stand.Run(play) }

// list returns the tenants that are left once some were taken away.
func list(keys []string, removed int) []any {
	out := []any{}
	for i := removed; i < len(keys); i++ {
		out = append(out, map[string]any{
			"name": fmt.Sprintf("tenant%d", i+1), "apiKeys": []string{keys[i]}, "ratePerS": 200000, "burst": 400000, "plainTokens": 200,
		})
	}
	return out
}

// write writes a configuration with the tenants that are left, as the operator does.
func write(p *stand.Play, version int, left []any) {
	c := stand.Configuration()
	c["version"], c["tenants"] = version, left
	if err := p.Store.Put("config", "main", c); err != nil {
		p.Record.Say("%v", err)
	}
	p.Record.Say("configuration %d has %d tenants", version, len(left))
}

func play(p *stand.Play) (int, error) {
	var runs stand.Runs
	if err := p.StartPlain(&runs, func(int, *stand.Plain) {}); err != nil {
		return stand.NotRun, err
	}
	if err := p.StartMachines(machines); err != nil {
		return stand.NotRun, err
	}
	var keys []string
	for range tenants {
		keys = append(keys, stand.Hex(10))
	}
	version := 11
	write(p, version, list(keys, 0))
	time.Sleep(2 * configApply)
	gone := make([]time.Time, tenants)
	var wg sync.WaitGroup
	if p.Trouble {
		wg.Go(func() {
			time.Sleep(removeAfter)
			for i := range gone {
				time.Sleep(removePause)
				version += 3
				write(p, version, list(keys, i+1))
				gone[i] = time.Now()
			}
		})
	}
	served, sent := 0, 0
	var results []stand.PlainResult
	var at []time.Time
	p.KeyedClients(append(keys, noKey), clients, pause, length, func(r stand.PlainResult) {
		results, at = append(results, r), append(at, time.Now())
		if r.Key == noKey {
			return
		}
		sent++
		if r.Err == nil && r.Answer.Status == http.StatusOK {
			served++
		}
	})
	wg.Wait()
	unknown, dropped := 0, 0
	all := runs.All()
	for n, r := range results {
		i := slices.Index(keys, r.Key)
		switch {
		case len(all[r.ID]) == 0:
		case i < 0:
			if unknown++; unknown <= shown {
				p.Record.Say("ROUTE: request %s ran at %s, and no configuration ever held its key", r.ID, all[r.ID][0].Replica)
			}
		case !gone[i].IsZero() && at[n].Sub(gone[i]) > configApply+stand.PlainDeadline:
			dropped++
		}
	}
	p.Record.Say("requests with keys of tenants sent %d, served %d; run with a key that no configuration ever held %d, with one that was taken away before %d",
		sent, served, unknown, dropped)
	if served == 0 {
		return stand.NotRun, errors.New("no request was served")
	}
	if unknown > 0 {
		return stand.Broken, nil
	}
	return stand.Held, nil
}
