package stand

import (
	"bufio"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Stream is what a client saw of one stream, over all its tries.
type Stream struct {
	ID string
	// Status is the status of the last answer, 0 if there was none. Last is the id of the last event.
	Status, Last int
	// Whole is set if the stream came to its end.
	Whole bool
	// Versions are the software versions that made its events.
	Versions []string
	// History says which replica made which part.
	History string
}

var piece = regexp.MustCompile(`^data: piece (\d+) of version (\S+) by (\S+)$`)

// resumePause is the time after which a client takes up a stream again.
const resumePause = 50 * time.Millisecond

// Stream sends a streaming request and reads its answer. If the answer is broken off, the client takes the stream up again,
// once, at the next machine.
func (p *Play) Stream(machine, events int) Stream {
	s := Stream{ID: Hex(8)}
	prompt := "5c1e07a2:200," + Hex(4) + ":1260"
	p.tryStream(&s, machine, s.ID, prompt, events)
	if !s.Whole && s.Last > 0 {
		time.Sleep(resumePause)
		p.tryStream(&s, machine+1, Hex(8), prompt, events)
	}
	return s
}

func (p *Play) tryStream(s *Stream, machine int, attempt, prompt string, events int) {
	d := p.Fleet.Daemons[machine%len(p.Fleet.Daemons)]
	req, err := http.NewRequest(http.MethodPost, "http://"+d.Front+EnginePath+"2f", strings.NewReader("text "+s.ID))
	if err != nil {
		return
	}
	req.Host = Host
	for name, value := range map[string]string{
		"Request-Attempt-Id": attempt, "Deadline-Ms": strconv.FormatInt(StreamDeadline.Milliseconds(), 10), "Api-Key": Key, "Model": "m",
		"Token-Usage": "1460,420", "Prompt-Prefix": prompt,
	} {
		req.Header.Set(name, value)
	}
	if s.Last > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(s.Last))
		req.Header.Set("Resumes", s.ID)
	}
	p.Record.Note("client sends %s to %s, stream %s after event %d", attempt, d.Name, s.ID, s.Last)
	client := http.Client{Timeout: StreamDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		p.Record.Note("client gets no answer to %s: %v", attempt, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	s.Status = resp.StatusCode
	first, from, by := s.Last, "", ""
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		m := piece.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		s.Last, _ = strconv.Atoi(m[1])
		if m[2]+m[3] != by {
			by = m[2] + m[3]
			from += fmt.Sprintf("; from event %d by %s, version %s", s.Last, m[3], m[2])
		}
		s.addVersion(m[2])
	}
	s.History += from
	s.Whole = lines.Err() == nil && s.Last == events
	p.Record.Note("client gets %d to %s, stream %s, events %d to %d%s; whole %v, error %v", s.Status, attempt, s.ID, first+1, s.Last, from, s.Whole, lines.Err())
}

func (s *Stream) addVersion(version string) {
	for _, v := range s.Versions {
		if v == version {
			return
		}
	}
	s.Versions = append(s.Versions, version)
}
