// Package tlsfile makes TLS configurations from PEM files and rereads the files when they
// change, so that certificates are renewed without a restart.
package tlsfile

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// checkPeriod is the time between looks at the files.
const checkPeriod = 5 * time.Second

// pair is a certificate with its key, reread when the certificate's file changes.
type pair struct {
	certFile, keyFile string

	mu      sync.Mutex
	cert    *tls.Certificate
	changed time.Time
	checked time.Time
}

func newPair(certFile, keyFile string) (*pair, error) {
	p := &pair{certFile: certFile, keyFile: keyFile}
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *pair) load() error {
	info, err := os.Stat(p.certFile)
	if err != nil {
		return fault.Wrap(err, fault.NotFound, "name a readable PEM file", "TLS certificate "+p.certFile)
	}
	cert, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return fault.Wrap(err, fault.Malformed, "give a PEM certificate and its key", "TLS files "+p.certFile+", "+p.keyFile)
	}
	p.cert, p.changed = &cert, info.ModTime()
	return nil
}

// current gives the certificate, reread if its file changed. A file that cannot be read
// leaves the last good certificate in use.
func (p *pair) current() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.checked) < checkPeriod {
		return p.cert
	}
	p.checked = time.Now()
	info, err := os.Stat(p.certFile)
	if err == nil && !info.ModTime().Equal(p.changed) {
		_ = p.load()
	}
	return p.cert
}

// Server gives the configuration for callers' connections, nil when no files are named.
func Server(certFile, keyFile string) (*tls.Config, error) {
	if certFile == "" {
		return nil, nil
	}
	p, err := newPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.current(), nil },
	}, nil
}

// Mutual gives the configuration for connections between VMs, nil when no files are named.
// Both sides must show a certificate signed by the authority in caFile.
func Mutual(certFile, keyFile, caFile string) (*tls.Config, error) {
	if certFile == "" {
		return nil, nil
	}
	p, err := newPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	pool, err := loadPool(caFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ClientAuth:           tls.RequireAndVerifyClientCert,
		ClientCAs:            pool,
		RootCAs:              pool,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.current(), nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.current(), nil },
	}, nil
}

func loadPool(caFile string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "name a readable PEM file", "TLS authority "+caFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, fault.New(fault.Malformed, "give a PEM file with at least one certificate", "TLS authority "+caFile+" holds no certificate")
	}
	return pool, nil
}
