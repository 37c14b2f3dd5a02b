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

// writeSelfSigned writes a self-signed certificate for 127.0.0.1 and its key.
func writeSelfSigned(t *testing.T, dir string, serial int64) (cert, key string) {
	t.Helper()
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(privateKey)
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

func TestMutualConfigRejectsUntrustedCertificate(t *testing.T) {
	cert, key := writeSelfSigned(t, t.TempDir(), 1)
	trusted, err := MutualConfig(cert, key, cert)
	if err != nil {
		t.Fatal(err)
	}
	client := trusted.Clone()
	client.ServerName = "127.0.0.1"
	if err := handshake(trusted, client); err != nil {
		t.Errorf("handshake with a trusted certificate failed: %v", err)
	}
	otherCert, otherKey := writeSelfSigned(t, t.TempDir(), 2)
	untrusted, err := MutualConfig(otherCert, otherKey, cert)
	if err != nil {
		t.Fatal(err)
	}
	untrusted.ServerName = "127.0.0.1"
	if err := handshake(trusted, untrusted); err == nil {
		t.Error("an untrusted certificate was accepted")
	}
}

func TestRenewedCertificateIsServedAndInvalidOneIsIgnored(t *testing.T) {
	dir := t.TempDir()
	cert, key := writeSelfSigned(t, dir, 1)
	p, err := newReloadingCert(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	serial := func() int64 {
		p.lastCheck = time.Time{}
		leaf, err := x509.ParseCertificate(p.certificate().Certificate[0])
		if err != nil {
			t.Fatal(err)
		}
		return leaf.SerialNumber.Int64()
	}
	writeSelfSigned(t, dir, 2)
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(cert, later, later); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != 2 {
		t.Errorf("got serial %d after renewal, want 2", got)
	}
	if err := os.WriteFile(cert, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != 2 {
		t.Errorf("got serial %d after an invalid renewal, want 2", got)
	}
}

func TestMissingFilesAreReported(t *testing.T) {
	if _, err := ServerConfig("/nowhere/cert.pem", "/nowhere/key.pem"); !fault.Is(err, fault.NotFound) {
		t.Errorf("got %v, want NotFound", err)
	}
	if cfg, err := ServerConfig("", ""); cfg != nil || err != nil {
		t.Errorf("without files: got %v, %v, want nil, nil", cfg, err)
	}
}
