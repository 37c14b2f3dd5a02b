package stand

import (
	"strconv"
	"sync"
	"time"
)

// PlainResult is what a client of the application service saw of one request.
type PlainResult struct {
	ID, Key string
	SentAt  time.Time
	Answer  Answer
	// Err is set if there was no complete answer.
	Err error
}

// PlainClients sends requests that may run once at most from a number of clients, which keep their channels, for a time.
// Each client pauses after each answer. It calls done with each result, one at a time.
func (p *Play) PlainClients(clients int, pause, length time.Duration, done func(PlainResult)) {
	p.KeyedClients([]string{Key}, clients, pause, length, done)
}

// KeyedClients is PlainClients for clients that have several keys, in turn.
func (p *Play) KeyedClients(keys []string, clients int, pause, length time.Duration, done func(PlainResult)) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for i := range clients {
		d := p.Fleet.Daemons[i%len(p.Fleet.Daemons)]
		wg.Go(func() {
			time.Sleep(time.Duration(i) * pause / time.Duration(clients))
			c := &plainClient{play: p, daemon: d, key: keys[i%len(keys)]}
			for time.Now().Before(end) {
				r := c.send()
				mu.Lock()
				done(r)
				mu.Unlock()
				time.Sleep(pause)
			}
			c.close()
		})
	}
	wg.Wait()
}

type plainClient struct {
	play   *Play
	daemon *Daemon
	key    string
	conn   *Conn
}

func (c *plainClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// lateness is how much longer than its deadline a client waits in this script.
const lateness = time.Second

func (c *plainClient) send() PlainResult {
	rec := c.play.Record
	r := PlainResult{ID: Hex(8), Key: c.key, SentAt: time.Now()}
	if c.conn == nil {
		if c.conn, r.Err = Dial(c.daemon.Front); r.Err != nil {
			c.conn = nil
			rec.Note("client gets no channel to %s: %v", c.daemon.Name, r.Err)
			return r
		}
	}
	rec.Note("client sends %s to %s", r.ID, c.daemon.Name)
	r.Answer, r.Err = c.conn.Do("POST", Host, PlainPath+"2f", map[string]string{
		"Request-Attempt-Id": r.ID, "Deadline-Ms": strconv.FormatInt(PlainDeadline.Milliseconds(), 10), "Api-Key": c.key,
	}, "pass "+r.ID, PlainDeadline+lateness)
	if r.Err != nil {
		rec.Note("client gets no answer to %s: %v", r.ID, r.Err)
	} else {
		rec.Note("client gets %d to %s, signature %q, body %q", r.Answer.Status, r.ID, r.Answer.Signature, r.Answer.Body)
	}
	if r.Err != nil || r.Answer.Close {
		c.close()
	}
	return r
}

// Runs notes which replicas ran which requests.
type Runs struct {
	mu   sync.Mutex
	list map[string][]RunOf
}

// RunOf is one run of a request.
type RunOf struct {
	Replica string
	At      time.Time
}

// Add adds a run.
func (r *Runs) Add(id, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.list == nil {
		r.list = map[string][]RunOf{}
	}
	r.list[id] = append(r.list[id], RunOf{replica, time.Now()})
}

// All returns the runs by the id of the request.
func (r *Runs) All() map[string][]RunOf {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]RunOf, len(r.list))
	for id, runs := range r.list {
		out[id] = append([]RunOf(nil), runs...)
	}
	return out
}

// StartPlain starts one replica of the application service in each zone. prepare is called with each one before it starts.
func (p *Play) StartPlain(runs *Runs, prepare func(i int, r *Plain)) error {
	for i, zone := range Zones {
		r := &Plain{
			ID: "i-" + Hex(4), Service: PlainService, Zone: zone, Slots: 6, Work: 15 * time.Millisecond,
			OnRun: func(r *Plain, id, what string) {
				p.Record.Note("replica %s runs %s: %s", r.ID, id, what)
				runs.Add(id, r.ID)
			},
		}
		prepare(i, r)
		if err := r.Start(p.Store); err != nil {
			return err
		}
	}
	return nil
}
