// Package clients_test starts the daemon's processes and sends them what clients that keep to no limit may send. Run its tests one at a
// time and apart from other load: they bound the memory of the processes.
package clients_test

import (
	"bytes"
	"crypto/rand"
	"crypto/rsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	mathrand "math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// memoryMiB is the memory of a machine: limits.memoryMb in the platform form, limits.memory_mib in the settings-file form.
	memoryMiB = 64
	// descriptors is the limit of open files (RLIMIT_NOFILE) of a process.
	descriptors = 256
	// platformAddress is an address without a listener: the processes find no configuration and refuse calls.
	platformAddress = "127.0.0.1:1"
)

var daemonBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "clients")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "fulmartided")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/fulmartide/fulmartide/cmd/fulmartided").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return binary, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if binary, err := daemonBinary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(code)
}

// process is a running daemon.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	log    string
}

// startProcess starts the daemon with lowered limits and waits until it accepts connections at each address.
func startProcess(t *testing.T, environment string, arguments []string, addresses ...string) *process {
	t.Helper()
	binary, err := daemonBinary()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{exited: make(chan struct{}), log: filepath.Join(t.TempDir(), "log")}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	shell := fmt.Sprintf(`ulimit -n %d && exec "$@"`, descriptors)
	p.cmd = exec.Command("sh", append([]string{"-c", shell, "sh", binary}, arguments...)...)
	p.cmd.Env = append(os.Environ(), environment)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	for _, address := range addresses {
		p.awaitListener(t, address)
	}
	return p
}

func (p *process) awaitListener(t *testing.T, address string) {
	t.Helper()
	for {
		c, err := net.Dial("tcp", address)
		if err == nil {
			_ = c.Close()
			return
		}
		select {
		case <-p.exited:
			t.Fatalf("the daemon has ended:\n%s", p.tail())
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// tail returns the end of the log.
func (p *process) tail() string {
	raw, _ := os.ReadFile(p.log)
	return string(raw[max(0, len(raw)-2000):])
}

// checkBounds fails the test if the process has ended, or has exceeded its memory or descriptors since its start.
func (p *process) checkBounds(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatalf("the daemon has ended:\n%s", p.tail())
	default:
	}
	peak := p.statusMiB(t, "VmHWM:")
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak of resident memory %d MiB, %d descriptors", peak, len(files))
	if peak > memoryMiB {
		t.Errorf("resident memory reached %d MiB, want at most %d", peak, memoryMiB)
	}
	if len(files) >= descriptors {
		t.Errorf("%d descriptors are open, want fewer than %d", len(files), descriptors)
	}
}

// awaitRest waits until the process has read what was sent: until it uses no more processor time.
func (p *process) awaitRest(t *testing.T) {
	t.Helper()
	const quiet = 100 * time.Millisecond
	for used := p.processorTime(t); ; {
		time.Sleep(quiet)
		now := p.processorTime(t)
		if now-used <= 1 {
			return
		}
		used = now
	}
}

// processorTime returns the processor time of the process in clock ticks.
func (p *process) processorTime(t *testing.T) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(raw), ") ")
	const userTime, systemTime = 11, 12
	fields := strings.Fields(after)
	user, errUser := strconv.Atoi(fields[userTime])
	system, errSystem := strconv.Atoi(fields[systemTime])
	if errUser != nil || errSystem != nil {
		t.Fatal(errUser, errSystem)
	}
	return user + system
}

func (p *process) statusMiB(t *testing.T, field string) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(status), field)
	kib, _, _ := strings.Cut(strings.TrimSpace(after), " ")
	n, err := strconv.Atoi(kib)
	if err != nil {
		t.Fatal(err)
	}
	return n >> 10
}

// freePorts returns the first of n consecutive free ports, below those that the kernel gives to outgoing connections.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	const lowest, highest = 20000, 30000
	for {
		port := lowest + mathrand.IntN(highest-lowest)
		var held []net.Listener
		for i := range n {
			ln, err := net.Listen("tcp", loopback(port+i))
			if err != nil {
				break
			}
			held = append(held, ln)
		}
		for _, ln := range held {
			_ = ln.Close()
		}
		if len(held) == n {
			return port
		}
	}
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// target is a listener of a running daemon.
type target struct {
	process *process
	address string
	path    string
	tls     bool
	// head is the size of a head that the servers of 7361cb9 accept (256 KiB, four times limits.header_bytes, or 1 MiB).
	head int
}

// dial opens a connection, with TLS and the protocols if the listener uses it.
func (d target) dial(protocols ...string) (net.Conn, error) {
	c, err := net.Dial("tcp", d.address)
	if err != nil || !d.tls {
		return c, err
	}
	_ = c.SetDeadline(time.Now().Add(answerTime))
	secure := tls.Client(c, &tls.Config{InsecureSkipVerify: true, NextProtos: protocols}) //nolint:gosec // the certificate is the test's own
	if err := secure.Handshake(); err != nil {
		_ = c.Close()
		return nil, err
	}
	return secure, nil
}

// startPlatformForm starts "fulmartided platform" and returns its listeners for callers, readiness checks and metrics.
func startPlatformForm(t *testing.T) (callers, ready, metrics target) {
	t.Helper()
	port := freePorts(t, 4)
	lines := []string{
		"nodeName=vm", "zone=a", "ip=127.0.0.1", "listen.front=" + loopback(port), "listen.ready=" + loopback(port+1),
		fmt.Sprintf("internalPorts=%d,%d", port+2, port+3), "provider.address=" + platformAddress, fmt.Sprintf("limits.memoryMb=%d", memoryMiB), fmt.Sprintf("limits.maxFds=%d", descriptors),
	}
	file := filepath.Join(t.TempDir(), "node.conf")
	writeFile(t, file, []byte(strings.Join(lines, "\n")))
	p := startProcess(t, "FULMARTIDE_NODE_FILE="+file, []string{"platform"}, loopback(port), loopback(port+1), loopback(port+3))
	return target{process: p, address: loopback(port), path: "/call", head: 250 << 10}, target{process: p, address: loopback(port + 1), path: "/", head: 1000 << 10},
		target{process: p, address: loopback(port + 3), path: "/metrics", head: 1000 << 10}
}

// startSettingsForm starts "fulmartided FILE" and returns its listeners for callers and operators.
func startSettingsForm(t *testing.T, useTLS bool) (callers, operator target) {
	t.Helper()
	port := freePorts(t, 3)
	text := fmt.Sprintf(`vm = { name = "vm", data_centre = "a", region = "r" }
listen = { callers = %q, peers = %q, operator = %q }
platform = { address = %q }
`, loopback(port), loopback(port+1), loopback(port+2), platformAddress)
	if useTLS {
		certificate, key := writeCertificate(t)
		text += fmt.Sprintf("tls = { callers_cert = %q, callers_key = %q }\n", certificate, key)
	}
	file := filepath.Join(t.TempDir(), "settings.toml")
	writeFile(t, file, []byte(text))
	p := startProcess(t, "", []string{file}, loopback(port), loopback(port+2))
	return target{process: p, address: loopback(port), path: "/v1/call", tls: useTLS, head: 120 << 10}, target{process: p, address: loopback(port + 2), path: "/livez", head: 1000 << 10}
}

func writeFile(t *testing.T, name string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(name, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

func writeCertificate(t *testing.T) (certificateFile, keyFile string) {
	t.Helper()
	key, err := rsa.GenerateKey(rand.Reader, 2048)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	certificateFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writeFile(t, certificateFile, pemOf("CERTIFICATE", certificate))
	writeFile(t, keyFile, pemOf("RSA PRIVATE KEY", x509.MarshalPKCS1PrivateKey(key)))
	return certificateFile, keyFile
}

func pemOf(kind string, raw []byte) []byte {
	var out bytes.Buffer
	_ = pem.Encode(&out, &pem.Block{Type: kind, Bytes: raw}) // a buffer takes everything
	return out.Bytes()
}
