// Package tlsfile creates TLS configurations from PEM files. It reloads a certificate when its file
// changes, so that certificates can be renewed without a restart.
package tlsfile

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// checkInterval is the minimum time between checks of a certificate file.
const checkInterval = 5 * time.Second

// reloadingCert is a certificate with its key, reloaded when the certificate file changes.
type reloadingCert struct {
	certFile, keyFile string

	mu        sync.Mutex
	cert      *tls.Certificate
	modTime   time.Time
	lastCheck time.Time
}

func newReloadingCert(certFile, keyFile string) (*reloadingCert, error) {
	p := &reloadingCert{certFile: certFile, keyFile: keyFile}
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *reloadingCert) load() error {
	info, err := os.Stat(p.certFile)
	if err != nil {
		return fault.Wrap(err, fault.NotFound, "name a readable PEM file", "TLS certificate "+p.certFile)
	}
	cert, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return fault.Wrap(err, fault.Malformed, "provide a PEM certificate and its key", "TLS files "+p.certFile+", "+p.keyFile)
	}
	p.cert, p.modTime = &cert, info.ModTime()
	return nil
}

// certificate returns the certificate, reloading it if its file changed. If reloading fails, the
// previous certificate stays in use.
func (p *reloadingCert) certificate() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.lastCheck) < checkInterval {
		return p.cert
	}
	p.lastCheck = time.Now()
	info, err := os.Stat(p.certFile)
	if err == nil && !info.ModTime().Equal(p.modTime) {
		_ = p.load()
	}
	return p.cert
}

// ServerConfig returns the configuration for callers' connections, or nil if certFile is empty.
func ServerConfig(certFile, keyFile string) (*tls.Config, error) {
	if certFile == "" {
		return nil, nil
	}
	p, err := newReloadingCert(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.certificate(), nil },
	}, nil
}

// MutualConfig returns the configuration for connections between VMs, or nil if certFile is empty. Both
// sides must present a certificate signed by the certificate authority in caFile.
func MutualConfig(certFile, keyFile, caFile string) (*tls.Config, error) {
	if certFile == "" {
		return nil, nil
	}
	p, err := newReloadingCert(certFile, keyFile)
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
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.certificate(), nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.certificate(), nil },
	}, nil
}

func loadPool(caFile string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "name a readable PEM file", "TLS certificate authority "+caFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, fault.New(fault.Malformed, "provide a PEM file with at least one certificate", "TLS certificate authority "+caFile+" contains no certificate")
	}
	return pool, nil
}
