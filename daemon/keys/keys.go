// Package keys makes the keys by which daemons know each other.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"ladderridge.example/core/fault"
)

// The names of the files.
const (
	AuthorityFile    = "authority.pem"
	authorityKeyFile = "authority.key"
)

// How long the certificates hold.
const (
	authorityFor = 10 * 365 * 24 * time.Hour
	daemonFor    = 365 * 24 * time.Hour
	// skew allows for clocks that are behind.
	skew = time.Hour
)

// Kind says what sort of error the package met.
type Kind string

// The kinds of error.
const (
	// Exists is a file that would be overwritten.
	Exists Kind = "file exists"
	// Unusable is a file that cannot be read or written.
	Unusable Kind = "unusable file"
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// MakeAuthority writes a new authority into a folder.
func MakeAuthority(dir string) error {
	template := certificate("ladderridge authority", authorityFor)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	return writePair(dir, "authority", template, nil, nil)
}

// MakeDaemon writes the certificate of a daemon, signed by the authority of
// the same folder, as ID.pem and ID.key.
func MakeDaemon(dir, id string) error {
	parent, key, err := readAuthority(dir)
	if err != nil {
		return &Error{Op: "make daemon keys", Kind: Unusable, Err: err}
	}
	template := certificate(id, daemonFor)
	template.DNSNames = []string{id}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return writePair(dir, id, template, parent, key)
}

func certificate(name string, holds time.Duration) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-skew),
		NotAfter:     now.Add(holds),
	}
}

// writePair makes a key and a certificate and writes both. Without a parent the
// certificate signs itself.
func writePair(dir, name string, template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) error {
	const op = "make keys"
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return &Error{Op: op, Kind: Unusable, Err: err}
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return &Error{Op: op, Kind: Unusable, Err: err}
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return &Error{Op: op, Kind: Unusable, Err: err}
	}
	if err := writeNew(filepath.Join(dir, name+".key"), "PRIVATE KEY", private); err != nil {
		return err
	}
	return writeNew(filepath.Join(dir, name+".pem"), "CERTIFICATE", der)
}

// writeNew writes a PEM file that must not be there yet.
func writeNew(path, kind string, der []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if os.IsExist(err) {
		return &Error{Op: "write keys", Kind: Exists, Err: err}
	}
	if err != nil {
		return &Error{Op: "write keys", Kind: Unusable, Err: err}
	}
	defer f.Close()
	if err := pem.Encode(f, &pem.Block{Type: kind, Bytes: der}); err != nil {
		return &Error{Op: "write keys", Kind: Unusable, Err: err}
	}
	return nil
}

func readAuthority(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certDER, err := readPEM(filepath.Join(dir, AuthorityFile))
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, nil, err
	}
	keyDER, err := readPEM(filepath.Join(dir, authorityKeyFile))
	if err != nil {
		return nil, nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(keyDER)
	if err != nil {
		return nil, nil, err
	}
	ec, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, &Error{Op: "read authority", Kind: Unusable}
	}
	return cert, ec, nil
}

func readPEM(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, &Error{Op: "read " + path, Kind: Unusable}
	}
	return block.Bytes, nil
}
