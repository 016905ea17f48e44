package peer

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"time"

	"github.com/quic-go/quic-go"
)

// SelfSignedKeys is a key pair with a self-signed certificate that a daemon
// generates at its start, for VMs without persistent files. Other daemons are
// verified against the public keys that they have published in a place that
// only daemons can write to; all others are refused. Create it with
// NewSelfSignedKeys.
type SelfSignedKeys struct {
	// Trusted returns the public key that a daemon has published, or nil.
	Trusted func(id string) ed25519.PublicKey

	pair  tls.Certificate
	reset quic.StatelessResetKey
}

// certValidity is how far before and after the present a generated certificate
// is valid. The dates are not checked, because the wall clock may jump: the key
// is valid for as long as its process runs.
const certValidity = 10 * 365 * 24 * time.Hour

// NewSelfSignedKeys generates a key pair for the daemon with the given id.
func NewSelfSignedKeys(id string) (*SelfSignedKeys, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, &Error{Op: "make keys", Kind: BadKeys, Err: err}
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: id}, DNSNames: []string{id},
		NotBefore: time.Now().Add(-certValidity), NotAfter: time.Now().Add(certValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, &Error{Op: "make keys", Kind: BadKeys, Err: err}
	}
	return &SelfSignedKeys{
		pair:  tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private},
		reset: quic.StatelessResetKey(sha256.Sum256(append([]byte("ladderridge stateless reset "), private...))),
	}, nil
}

// Public returns the public key to publish.
func (k *SelfSignedKeys) Public() ed25519.PublicKey {
	private, ok := k.pair.PrivateKey.(ed25519.PrivateKey)
	if !ok {
		return nil
	}
	public, _ := private.Public().(ed25519.PublicKey)
	return public
}

func (k *SelfSignedKeys) resetKey() (quic.StatelessResetKey, error) { return k.reset, nil } //nolint:unparam // Identity.

func (k *SelfSignedKeys) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocol, relayProtocol},
		Certificates: []tls.Certificate{k.pair}, ClientAuth: tls.RequireAnyClientCert,
		VerifyConnection: func(s tls.ConnectionState) error { return k.verify(s, "") },
	}
}

func (k *SelfSignedKeys) client(id string) (*tls.Config, error) { //nolint:unparam // Identity.
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, ServerName: id,
		Certificates: []tls.Certificate{k.pair},
		// There is no certificate authority: VerifyConnection checks the key
		// itself.
		InsecureSkipVerify: true, //nolint:gosec // Checked in VerifyConnection.
		VerifyConnection:   func(s tls.ConnectionState) error { return k.verify(s, id) },
	}, nil
}

// verify checks that the peer's key is the one published by the daemon that its
// certificate names. If want is not empty, that daemon must be want.
func (k *SelfSignedKeys) verify(s tls.ConnectionState, want string) error {
	if len(s.PeerCertificates) == 0 {
		return fmt.Errorf("the peer sent no certificate")
	}
	cert := s.PeerCertificates[0]
	id := cert.Subject.CommonName
	if want != "" && id != want {
		return fmt.Errorf("the peer is %q, want %q", id, want)
	}
	shown, ok := cert.PublicKey.(ed25519.PublicKey)
	if trusted := k.Trusted(id); !ok || trusted == nil || !trusted.Equal(shown) {
		return fmt.Errorf("the key of %q does not match its published key", id)
	}
	return nil
}
