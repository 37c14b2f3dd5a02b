package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// isReady asks a daemon whether it is ready, as the platform does.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + d.ready + "/v1/ready")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client got.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	took   time.Duration
	// err is why there is no complete answer.
	err error
}

// call sends one request on a new channel and reads the answer. The channel may take dialTime to be established.
func call(address, method, path, key string, deadline time.Duration, body []byte) answer {
	return callWith(address, method, path, key, deadline, body, "")
}

// callWith is as call, with further header lines.
func callWith(address, method, path, key string, deadline time.Duration, body []byte, lines string) answer {
	began := time.Now()
	a := answer{id: newAttempt()}
	a.err = func() error {
		nc, err := net.DialTimeout("tcp", address, dialTime)
		if err != nil {
			return fmt.Errorf("no channel: %w", err)
		}
		defer func() { _ = nc.Close() }()
		if err := nc.SetDeadline(began.Add(deadline)); err != nil {
			return err
		}
		head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Attempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\n", method, path, host, a.id,
			deadline.Milliseconds(), key)
		head += lines
		if body != nil {
			head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
		}
		if _, err := nc.Write(append([]byte(head+"\r\n"), body...)); err != nil {
			return fmt.Errorf("request not written: %w", err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: method})
		if err != nil {
			return fmt.Errorf("no answer: %w", err)
		}
		a.status, a.header = resp.StatusCode, resp.Header
		if a.body, err = io.ReadAll(resp.Body); err != nil {
			return fmt.Errorf("answer cut: %w", err)
		}
		return nil
	}()
	a.took = time.Since(began)
	return a
}

// dialTime is how long clients allow a new channel.
const dialTime = time.Second

// host is the host of all routes.
const host = "site.example"

var errBroken = errors.New("the rule was broken")

// broken returns the error of a case whose rule was broken.
func broken(rule, format string, args ...any) error {
	return fmt.Errorf("rule %s: %s: %w", rule, fmt.Sprintf(format, args...), errBroken)
}
