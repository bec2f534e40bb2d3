package example

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// Files of certificate authorities, as the refund office's settings name them. Callers
// and operators trust the one in publicCAFile, hosts the one in peerCAFile.
const (
	publicCAFile = "ca.pem"
	peerCAFile   = "peer-ca.pem"
)

const certificateValidity = time.Hour

// certAuthority is a certificate authority.
type certAuthority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// writeCertificates generates two certificate authorities and the certificates of all
// listeners.
func writeCertificates(dir, peerName string) error {
	public, err := newCertAuthority(filepath.Join(dir, publicCAFile))
	if err != nil {
		return err
	}
	peers, err := newCertAuthority(filepath.Join(dir, peerCAFile))
	if err != nil {
		return err
	}
	for _, name := range []string{"callers", "operators"} {
		if err := public.issue(dir, name, ""); err != nil {
			return err
		}
	}
	return peers.issue(dir, "peer", peerName)
}

func template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "redwingpath test"},
		NotBefore: time.Now().Add(-certificateValidity), NotAfter: time.Now().Add(certificateValidity),
	}
}

func newCertAuthority(path string) (*certAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate key of certificate authority")
	}
	t := template(1)
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "create certificate of certificate authority")
	}
	return &certAuthority{t, key}, writePEM(path, "CERTIFICATE", der)
}

// issue writes name.pem and name.key, with a certificate for the loopback address and
// an optional DNS name.
func (a *certAuthority) issue(dir, name, dns string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "generate certificate key")
	}
	t := template(time.Now().UnixNano())
	t.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	if dns != "" {
		t.DNSNames = []string{dns}
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return eris.Wrap(err, "create certificate")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return eris.Wrap(err, "encode key")
	}
	if err := writePEM(filepath.Join(dir, name+".key"), "PRIVATE KEY", private); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, name+".pem"), "CERTIFICATE", der)
}

func writePEM(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return eris.Wrap(os.WriteFile(path, data, 0o600), "write PEM file")
}
