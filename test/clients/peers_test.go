package clients_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"
)

const (
	// peerFrame is the length that strangers announce, the maximum of a frame between VMs.
	peerFrame = 4 << 20
	// peerWriteTime ends a write of a frame that the process does not read.
	peerWriteTime = 2 * time.Second
)

// peerHello is the first frame of a VM named stranger.
var peerHello = append([]byte{0, 0, 0, 18}, "\x97\x01\x00\x00\x00\x92\xa8stranger\x01\xc0\xc0"...)

// unfinishedFrame returns a frame between VMs without its last byte.
func unfinishedFrame() []byte {
	return append(binary.BigEndian.AppendUint32(nil, peerFrame), make([]byte, peerFrame-1)...)
}

// startPeersListener starts the settings-file form and returns its listener for callers, the address for other VMs, and how strangers dial it.
// With mutual TLS they have a certificate of the fleet.
func startPeersListener(t *testing.T, mutual bool) (callers target, peers string, dial func() (net.Conn, error)) {
	t.Helper()
	port := freePorts(t, 3)
	text := fmt.Sprintf(`vm = { name = "vm", data_centre = "a", region = "r" }
listen = { callers = %q, peers = %q, operator = %q }
platform = { address = %q }
`, loopback(port), loopback(port+1), loopback(port+2), platformAddress)
	peers = loopback(port + 1)
	dial = func() (net.Conn, error) { return net.DialTimeout("tcp", peers, peerWriteTime) }
	if mutual {
		certificate, key := writeCertificate(t)
		text += fmt.Sprintf("tls = { peers_cert = %q, peers_key = %q, peers_ca = %q }\n", certificate, key, certificate)
		pair, err := tls.LoadX509KeyPair(certificate, key)
		if err != nil {
			t.Fatal(err)
		}
		config := &tls.Config{Certificates: []tls.Certificate{pair}, InsecureSkipVerify: true} //nolint:gosec // the certificate is the test's own
		dial = func() (net.Conn, error) {
			return tls.DialWithDialer(&net.Dialer{Timeout: peerWriteTime}, "tcp", peers, config)
		}
	}
	file := filepath.Join(t.TempDir(), "settings.toml")
	writeFile(t, file, []byte(text))
	p := startProcess(t, "", []string{file}, loopback(port), peers, loopback(port+2))
	return target{process: p, address: loopback(port), path: "/v1/call"}, peers, dial
}

// withstandsStrangers runs a crowd whose members send the messages and keep their connections, and checks the process beside it and after it.
func withstandsStrangers(t *testing.T, callers target, strangers int, dial func() (net.Conn, error), messages ...[]byte) {
	t.Helper()
	before, err := ordinaryRequest(callers)
	if err != nil {
		t.Fatal(err)
	}
	raw := bytes.Join(messages, nil)
	leave := sendAll(strangers, func(ctx context.Context, sent func()) {
		defer sent()
		nc, err := dial()
		if err != nil {
			return // refusing is allowed
		}
		defer func() { _ = nc.Close() }()
		_ = nc.SetWriteDeadline(time.Now().Add(peerWriteTime))
		_, _ = nc.Write(raw) // closing the connection is allowed
		sent()
		<-ctx.Done()
	})
	checkAfter(t, callers, before)
	leave()
	checkAfter(t, callers, before)
}

func TestStrangersFirstFramesEndPeersListener(t *testing.T) {
	callers, _, dial := startPeersListener(t, false)
	withstandsStrangers(t, callers, crowd, dial, unfinishedFrame())
}

func TestStrangersFramesEndPeersListener(t *testing.T) {
	callers, _, dial := startPeersListener(t, false)
	withstandsStrangers(t, callers, crowd, dial, peerHello, unfinishedFrame())
}

func TestStrangersConnectionsEndPeersListener(t *testing.T) {
	callers, _, dial := startPeersListener(t, false)
	withstandsStrangers(t, callers, idleCrowd, dial, peerHello)
}

func TestStrangersHandshakesEndPeersListenerWithTLS(t *testing.T) {
	callers, peers, _ := startPeersListener(t, true)
	dial := func() (net.Conn, error) { return net.DialTimeout("tcp", peers, peerWriteTime) }
	withstandsStrangers(t, callers, idleCrowd, dial, []byte("\x16\x03\x01\x40\x00\x01\x00\x3f\xfc"), make([]byte, 16000))
}

func TestStrangersFramesEndPeersListenerWithTLS(t *testing.T) {
	callers, _, dial := startPeersListener(t, true)
	withstandsStrangers(t, callers, crowd, dial, peerHello, unfinishedFrame())
}
