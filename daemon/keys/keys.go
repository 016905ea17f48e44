// Package keys creates the certificate authority, and the keys and certificates
// by which daemons authenticate each other.
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

// Names of the authority's files.
const (
	AuthorityFile    = "authority.pem"
	authorityKeyFile = "authority.key"
)

// Validity periods of the certificates.
const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	daemonValidity    = 365 * 24 * time.Hour
	// clockSkew is how far a certificate's start is set back, for hosts whose clocks
	// are behind.
	clockSkew = time.Hour
)

// Kind is the kind of an error of this package.
type Kind string

// The kinds of error.
const (
	// Exists means that a file to be written exists already.
	Exists Kind = "file exists"
	// Unusable means that a file cannot be read or written, or that a key or
	// certificate cannot be created.
	Unusable Kind = "unusable file"
)

// String returns the text of the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// MakeAuthority creates a certificate authority and writes its certificate and key
// to a directory.
func MakeAuthority(dir string) error {
	template := newTemplate("ladderridge authority", authorityValidity)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	return writePair(dir, "authority", template, nil, nil)
}

// MakeDaemon creates the key and certificate of a daemon and writes them to ID.key
// and ID.pem. The certificate is signed by the authority in the same directory.
func MakeDaemon(dir, id string) error {
	parent, key, err := readAuthority(dir)
	if err != nil {
		return &Error{Op: "make daemon keys", Kind: Unusable, Err: err}
	}
	template := newTemplate(id, daemonValidity)
	template.DNSNames = []string{id}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return writePair(dir, id, template, parent, key)
}

func newTemplate(name string, validity time.Duration) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}
}

// writePair creates a key and a certificate and writes both. If parent is nil, the
// certificate is self-signed.
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

// writeNew writes a PEM file, and fails if the file exists.
func writeNew(path, blockType string, der []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if os.IsExist(err) {
		return &Error{Op: "write keys", Kind: Exists, Err: err}
	}
	if err != nil {
		return &Error{Op: "write keys", Kind: Unusable, Err: err}
	}
	defer f.Close()
	if err := pem.Encode(f, &pem.Block{Type: blockType, Bytes: der}); err != nil {
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
