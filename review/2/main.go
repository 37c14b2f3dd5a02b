// Command 2 plays a case of the review; see claim.txt.
package main

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/review/stand"
)

const (
	machines = 3
	clients  = 8
	pause    = 250 * time.Millisecond
	length   = 28 * time.Second
	// The entry is written after entryAfter, a tenant is taken away after removeAfter.
	entryAfter  = 5 * time.Second
	removeAfter = 10 * time.Second
	// configApply is the time that a configuration has to come into force.
	configApply = 2 * time.Second
	// depth is how deep the entry's lists are nested, which is more than many readers of JSON take.
	depth = 12000
	// shown is the number of requests that are shown one by one.
	shown = 5
)

func main() { stand.Run(play) }

func tenant(name, key string) any {
	return map[string]any{"name": name, "apiKeys": []string{key}, "ratePerS": 200000, "burst": 400000, "plainTokens": 200}
}

func write(p *stand.Play, version int, tenants ...any) {
	c := stand.Configuration()
	c["version"], c["tenants"] = version, tenants
	if err := p.Store.Put("config", "main", c); err != nil {
		p.Record.Say("%v", err)
	}
	p.Record.Say("configuration %d has %d tenants", version, len(tenants))
}

func play(p *stand.Play) (int, error) {
	var runs stand.Runs
	if err := p.StartPlain(&runs, func(int, *stand.Plain) {}); err != nil {
		return stand.NotRun, err
	}
	if err := p.StartMachines(machines); err != nil {
		return stand.NotRun, err
	}
	keep, drop := stand.Hex(10), stand.Hex(10)
	write(p, 11, tenant("hule930", keep), tenant("jota114", drop))
	time.Sleep(2 * configApply)
	if p.Trouble {
		time.AfterFunc(entryAfter, func() {
			p.Record.Say("another writer writes an entry whose content is lists in lists, %d deep, and again as often as replicas write", depth)
			for {
				p.Store.PutText("servers", "probe-1", strings.Repeat("[", depth)+strings.Repeat("]", depth))
				time.Sleep(stand.Heartbeat)
			}
		})
	}
	var mu sync.Mutex
	var removed time.Time
	time.AfterFunc(removeAfter, func() {
		write(p, 14, tenant("hule930", keep))
		mu.Lock()
		defer mu.Unlock()
		removed = time.Now()
	})
	served, late := 0, 0
	p.KeyedClients([]string{keep, drop}, clients, pause, length, func(r stand.PlainResult) {
		mu.Lock()
		defer mu.Unlock()
		if r.Err == nil && r.Answer.Status == http.StatusOK {
			served++
		}
		ran := runs.All()[r.ID]
		if r.Key != drop || removed.IsZero() || len(ran) == 0 || r.SentAt.Sub(removed) <= configApply {
			return
		}
		if late++; late <= shown {
			p.Record.Say("CONFIG: request %s, sent %v after its key was taken away, ran at %s", r.ID, r.SentAt.Sub(removed).Round(time.Millisecond), ran[0].Replica)
		}
	})
	p.Record.Say("requests served %d; run with a key that was taken away more than %v before %d", served, configApply, late)
	if served == 0 {
		return stand.NotRun, errors.New("no request was served")
	}
	if late > 0 {
		return stand.Broken, nil
	}
	return stand.Held, nil
}
