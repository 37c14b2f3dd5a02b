package tlsfile

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// writePair writes a certificate for 127.0.0.1 signed by itself, and its key.
func writePair(t *testing.T, dir string, serial int64) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for path, block := range map[string]*pem.Block{cert: {Type: "CERTIFICATE", Bytes: der}, key: {Type: "EC PRIVATE KEY", Bytes: keyDER}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return cert, key
}

func handshake(server, client *tls.Config) error {
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	done := make(chan error, 1)
	go func() { done <- tls.Server(a, server).Handshake() }()
	c := tls.Client(b, client)
	err := c.Handshake()
	if err == nil {
		go func() { _, _ = c.Read(make([]byte, 1)) }()
		return <-done
	}
	_ = b.Close()
	<-done
	return err
}

func TestMutualRefusesStrangers(t *testing.T) {
	cert, key := writePair(t, t.TempDir(), 1)
	ours, err := Mutual(cert, key, cert)
	if err != nil {
		t.Fatal(err)
	}
	client := ours.Clone()
	client.ServerName = "127.0.0.1"
	if err := handshake(ours, client); err != nil {
		t.Errorf("own side: %v", err)
	}
	otherCert, otherKey := writePair(t, t.TempDir(), 2)
	stranger, err := Mutual(otherCert, otherKey, cert)
	if err != nil {
		t.Fatal(err)
	}
	stranger.ServerName = "127.0.0.1"
	if err := handshake(ours, stranger); err == nil {
		t.Error("a stranger's certificate was taken")
	}
}

func TestRenewedCertificateIsServedAndABrokenOneIsNot(t *testing.T) {
	dir := t.TempDir()
	cert, key := writePair(t, dir, 1)
	p, err := newPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	serial := func() int64 {
		p.checked = time.Time{}
		leaf, err := x509.ParseCertificate(p.current().Certificate[0])
		if err != nil {
			t.Fatal(err)
		}
		return leaf.SerialNumber.Int64()
	}
	writePair(t, dir, 2)
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(cert, later, later); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != 2 {
		t.Errorf("serves serial %d", got)
	}
	if err := os.WriteFile(cert, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != 2 {
		t.Errorf("serves serial %d after a broken renewal", got)
	}
}

func TestMissingFilesNameTheRemedy(t *testing.T) {
	if _, err := Server("/nowhere/cert.pem", "/nowhere/key.pem"); !fault.Is(err, fault.NotFound) {
		t.Errorf("got %v", err)
	}
	if cfg, err := Server("", ""); cfg != nil || err != nil {
		t.Errorf("no files: %v, %v", cfg, err)
	}
}
