// Command 2 plays a case of the review; see claim.txt.
package main

import (
	"errors"
	"net/http"
	"time"

	"github.com/fulmartide/fulmartide/review/stand"
)

const (
	machines = 3
	clients  = 8
	pause    = 250 * time.Millisecond
	length   = 30 * time.Second
	// One answer in 34 (under 3 in 100) of one replica of three is followed by additional bytes, for 5 s and more than once.
	extraEvery  = 34
	extraLength = 5 * time.Second
	extraPeriod = 6 * time.Second
	// extra names no request and has no signature.
	extra = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n"
)

func main() { stand.Run(play) }

func play(p *stand.Play) (int, error) {
	var runs stand.Runs
	extras := stand.Extras{Bytes: extra, Every: extraEvery, Length: extraLength, Period: extraPeriod}
	err := p.StartPlain(&runs, func(i int, r *stand.Plain) {
		if i == 0 && p.Trouble {
			extras.Apply(p.Record, r)
		}
	})
	if err == nil {
		err = p.StartMachines(machines)
	}
	if err != nil {
		return stand.NotRun, err
	}
	served, sent, mixed := 0, 0, 0
	p.PlainClients(clients, pause, length, func(r stand.PlainResult) {
		sent++
		if r.Err != nil || r.Answer.Status != http.StatusOK {
			return
		}
		served++
		if !own(r, runs.All()[r.ID]) {
			mixed++
			p.Record.Say("MIXED: request %s got a success with signature %q, attempt id %q and body %q", r.ID, r.Answer.Signature, r.Answer.ID, r.Answer.Body)
		}
	})
	p.Record.Say("requests sent %d, served %d, additional answers %d, successes that are not the replica's %d", sent, served, extras.Sent(), mixed)
	if 2*served < sent {
		return stand.NotRun, errors.New("most requests were not served")
	}
	if mixed > 0 {
		return stand.Broken, nil
	}
	return stand.Held, nil
}

// own reports whether a success is the answer of a replica that ran the request.
func own(r stand.PlainResult, runs []stand.RunOf) bool {
	for _, run := range runs {
		if r.Answer.Signature == stand.PlainSignature(run.Replica, r.ID) && r.Answer.Body == stand.PlainBody(run.Replica, r.ID) {
			return true
		}
	}
	return false
}
