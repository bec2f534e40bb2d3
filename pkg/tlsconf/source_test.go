package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/settings"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const peerName = "peer.test"

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	require.NoError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	return key
}

// write issues a certificate and writes the certificate, key and CA files of a
// listener.
func (a *authority) write(t *testing.T, dir string, serial int64) *settings.Certificate {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{peerName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	files := &settings.Certificate{
		CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"),
		CAFile: filepath.Join(dir, "ca.pem"), ServerName: peerName,
	}
	writePEM(t, files.CertFile, "CERTIFICATE", der)
	writePEM(t, files.KeyFile, "PRIVATE KEY", keyDER)
	writePEM(t, files.CAFile, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(t, os.WriteFile(name, data, 0o600))
}

func newSource(t *testing.T, files *settings.Certificate) *Source {
	t.Helper()
	s, err := New(files, zap.NewNop())
	require.NoError(t, err)
	return s
}

// handshake connects a client to a server and returns the serial number of the
// server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			_ = conn.Close()
		}
		served <- err
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	conn := tls.Client(raw, client)
	defer func() { _ = conn.Close() }()
	if err := conn.Handshake(); err != nil {
		_ = raw.Close()
		<-served
		return 0, err
	}
	// With TLS 1.3 the client's handshake ends before the server verifies the
	// client's certificate.
	if err := <-served; err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// expire makes the source check its files at the next use.
func expire(s *Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checked = time.Time{}
}

// Guards against hosts that accept a peer without a certificate, with one issued
// by another authority or with another name.
func TestHostsAuthenticateEachOther(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server := newSource(t, ours.write(t, t.TempDir(), 10))
	client := newSource(t, ours.write(t, t.TempDir(), 11))
	otherCA := newSource(t, theirs.write(t, t.TempDir(), 12))

	serial, err := handshake(t, server.Server(), client.Client("127.0.0.1:1"))
	require.NoError(t, err)
	assert.EqualValues(t, 10, serial)

	_, err = handshake(t, otherCA.Server(), client.Client("127.0.0.1:1"))
	assert.Error(t, err, "a server of another authority")

	otherCAClient := otherCA.Client("127.0.0.1:1")
	otherCAClient.RootCAs = client.Client("127.0.0.1:1").RootCAs
	_, err = handshake(t, server.Server(), otherCAClient)
	assert.Error(t, err, "a client of another authority")

	unnamed := newSource(t, ours.write(t, t.TempDir(), 13))
	unnamed.files.ServerName = ""
	assert.Equal(t, "127.0.0.1", unnamed.Client("127.0.0.1:1").ServerName)

	anonymous := client.Client("127.0.0.1:1")
	anonymous.Certificates = nil
	_, err = handshake(t, server.Server(), anonymous)
	assert.Error(t, err, "a client without a certificate")

	wrongName := client.Client("127.0.0.1:1")
	wrongName.ServerName = "other.test"
	_, err = handshake(t, server.Server(), wrongName)
	assert.Error(t, err, "a server with another name")
}

// Guards against continued use of an old certificate after its files were
// renewed, and against partly written files that make handshakes fail.
func TestChangedFilesAreLoaded(t *testing.T) {
	ca := newAuthority(t)
	dir := t.TempDir()
	files := ca.write(t, dir, 20)
	server := newSource(t, files)
	config := server.Server(HTTPProtocols...)
	client := newSource(t, ca.write(t, t.TempDir(), 21))

	require.NoError(t, os.WriteFile(files.CertFile, []byte("-----BEGIN"), 0o600))
	expire(server)
	serial, err := handshake(t, config, client.Client("127.0.0.1:1"))
	require.NoError(t, err)
	assert.EqualValues(t, 20, serial)

	ca.write(t, dir, 22)
	expire(server)
	serial, err = handshake(t, config, client.Client("127.0.0.1:1"))
	require.NoError(t, err)
	assert.EqualValues(t, 22, serial)

	// Changed authorities apply to the next connection.
	next := newAuthority(t)
	next.write(t, dir, 23)
	expire(server)
	_, err = handshake(t, config, client.Client("127.0.0.1:1"))
	assert.Error(t, err)
}

func TestServerAsksForNoClientCertificateWithoutAuthorities(t *testing.T) {
	ca := newAuthority(t)
	files := ca.write(t, t.TempDir(), 30)
	files.CAFile = ""
	pool := x509.NewCertPool()
	pool.AddCert(ca.certificate)
	client := &tls.Config{RootCAs: pool, ServerName: peerName, NextProtos: HTTPProtocols}
	serial, err := handshake(t, newSource(t, files).Server(HTTPProtocols...), client)
	require.NoError(t, err)
	assert.EqualValues(t, 30, serial)
}

func TestMissingOrWrongFiles(t *testing.T) {
	none, err := New(nil, zap.NewNop())
	require.NoError(t, err)
	assert.Nil(t, none.Server())
	assert.Nil(t, none.Client("127.0.0.1:1"))

	files := newAuthority(t).write(t, t.TempDir(), 40)
	require.NoError(t, os.WriteFile(files.CAFile, []byte("nothing"), 0o600))
	_, err = New(files, zap.NewNop())
	assert.ErrorContains(t, err, "no certificate")
	require.NoError(t, os.Remove(files.KeyFile))
	_, err = New(files, zap.NewNop())
	assert.ErrorIs(t, err, os.ErrNotExist)
}
