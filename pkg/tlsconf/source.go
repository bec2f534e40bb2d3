// Package tlsconf builds TLS configurations from PEM files and reloads changed
// files, so that certificates can be renewed without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/settings"
)

// checkInterval is the shortest time between two checks for changed files.
const checkInterval = time.Second

// HTTPProtocols are the ALPN protocols of an HTTP listener.
var HTTPProtocols = []string{"h2", "http/1.1"}

// Source provides TLS configurations from the certificate files of one listener.
// It checks the files for changes during handshakes, so it needs no goroutine. A
// nil Source means no TLS. It is safe for concurrent use.
type Source struct {
	files  settings.Certificate
	logger *zap.Logger

	mu       sync.Mutex
	checked  time.Time
	versions []fileVersion
	loaded   credentials
}

// credentials are the parsed content of the files.
type credentials struct {
	certificate tls.Certificate
	// authorities holds the trusted CAs. It is nil when no CA file is set.
	authorities *x509.CertPool
}

// fileVersion identifies a version of a file by modification time and size.
type fileVersion struct {
	modified time.Time
	size     int64
}

// New loads the files and returns their Source. If files is nil, it returns a nil
// Source, which means no TLS.
func New(files *settings.Certificate, logger *zap.Logger) (*Source, error) {
	if files == nil {
		return nil, nil
	}
	s := &Source{files: *files, logger: logger}
	versions, err := s.stat()
	if err != nil {
		return nil, err
	}
	s.loaded, err = s.load()
	if err != nil {
		return nil, err
	}
	s.versions = versions
	s.checked = time.Now()
	return s, nil
}

// Server returns the configuration of a listener, or nil without TLS. With a CA
// file, clients must present a certificate issued by one of its authorities.
func (s *Source) Server(protocols ...string) *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.handshakeConfig(protocols), nil
		},
	}
}

// handshakeConfig returns the configuration of one handshake.
func (s *Source) handshakeConfig(protocols []string) *tls.Config {
	m := s.current()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{m.certificate},
	}
	if m.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = m.authorities
		// A resumed session would bypass verification against changed authorities.
		config.SessionTicketsDisabled = true
	}
	return config
}

// Client returns the configuration of one connection to another host at an
// address "ip:port", or nil without TLS. Each connection needs a new
// configuration, since the authorities of an existing one cannot change.
func (s *Source) Client(address string) *tls.Config {
	if s == nil {
		return nil
	}
	m := s.current()
	name := s.files.ServerName
	if host, _, err := net.SplitHostPort(address); name == "" && err == nil {
		name = host
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		ServerName:   name,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authorities,
	}
}

// current returns the content of the files and reloads changed files first.
// Files that cannot be loaded, such as partly written ones, are retried at the
// next check, and the previous content stays in use.
func (s *Source) current() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) < checkInterval {
		return s.loaded
	}
	s.checked = time.Now()
	if err := s.reload(); err != nil {
		s.logger.Error("certificate files not loaded, the previous ones stay in use", zap.Error(err))
	}
	return s.loaded
}

func (s *Source) reload() error {
	versions, err := s.stat()
	if err != nil || equalVersions(versions, s.versions) {
		return err
	}
	loaded, err := s.load()
	if err != nil {
		return err
	}
	s.loaded, s.versions = loaded, versions
	s.logger.Info("certificate files loaded", zap.String("cert_file", s.files.CertFile))
	return nil
}

// stat returns the versions of the files. It is called before load, so that a
// change in between is detected at the next check.
func (s *Source) stat() ([]fileVersion, error) {
	var versions []fileVersion
	for _, name := range []string{s.files.CertFile, s.files.KeyFile, s.files.CAFile} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return nil, eris.Wrap(err, "certificate file")
		}
		versions = append(versions, fileVersion{info.ModTime(), info.Size()})
	}
	return versions, nil
}

func (s *Source) load() (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(s.files.CertFile, s.files.KeyFile)
	if err != nil {
		return credentials{}, eris.Wrapf(err, "certificate %s with key %s", s.files.CertFile, s.files.KeyFile)
	}
	loaded := credentials{certificate: certificate}
	if s.files.CAFile == "" {
		return loaded, nil
	}
	data, err := os.ReadFile(s.files.CAFile)
	if err != nil {
		return credentials{}, eris.Wrap(err, "authorities")
	}
	loaded.authorities = x509.NewCertPool()
	if !loaded.authorities.AppendCertsFromPEM(data) {
		return credentials{}, eris.Errorf("authorities: no certificate in %s", s.files.CAFile)
	}
	return loaded, nil
}

func equalVersions(a, b []fileVersion) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !a[i].modified.Equal(b[i].modified) || a[i].size != b[i].size {
			return false
		}
	}
	return true
}
