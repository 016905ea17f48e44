package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// protocol is the ALPN protocol name that both ends of a connection must agree
// on.
const protocol = "ladderridge/1"

// relayProtocol is the ALPN protocol name of connections that carry requests of
// one daemon to servers through another one.
const relayProtocol = "ladderridge-relay/1"

// Identity authenticates this daemon to others and verifies them: Keys or
// SelfSignedKeys.
type Identity interface {
	// server returns the TLS configuration for incoming connections.
	server() *tls.Config
	// client returns the TLS configuration for an outgoing connection to the
	// daemon with the given id.
	client(id string) (*tls.Config, error)
	// resetKey returns the QUIC stateless reset key, with which a restarted
	// daemon resets connections to its previous process.
	resetKey() (quic.StatelessResetKey, error)
}

// Keys names the files with a daemon's certificate, its private key and the
// certificate authority that other daemons are verified against. The files are
// read again when their modification times change, so that keys can be replaced
// without a restart.
type Keys struct {
	Certificate string
	Key         string
	Authority   string

	mu sync.Mutex
	// readTimes are the modification times of the files when they were last
	// read.
	readTimes fileTimes
	pair      *tls.Certificate
	pool      *x509.CertPool
	lastErr   error
}

// fileTimes holds the modification times of the certificate, the key and the
// authority. All three are compared: the files are replaced one after the other
// and may end up with equal times, so the newest time alone does not show each
// change.
type fileTimes [3]time.Time

// Load reads the files. Call it once before use, to detect unusable files at
// start.
func (k *Keys) Load() error {
	_, _, err := k.current()
	return err
}

// current returns the keys from the files as they are now. If the files have
// become unusable, the last valid keys stay in use.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := k.modTimes()
	if k.pair != nil && changed == k.readTimes {
		return k.pair, k.pool, nil
	}
	pair, pool, err := k.load()
	if err != nil && k.pair == nil {
		return nil, nil, &Error{Op: "load keys", Kind: BadKeys, Err: err}
	}
	k.readTimes, k.lastErr = changed, err
	if err == nil {
		k.pair, k.pool = pair, pool
	}
	return k.pair, k.pool, nil
}

// modTimes returns the modification times of the files; the time of a missing
// file is zero.
func (k *Keys) modTimes() fileTimes {
	var out fileTimes
	for i, name := range []string{k.Certificate, k.Key, k.Authority} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

func (k *Keys) load() (*tls.Certificate, *x509.CertPool, error) {
	pair, err := tls.LoadX509KeyPair(k.Certificate, k.Key)
	if err != nil {
		return nil, nil, err
	}
	pem, err := os.ReadFile(k.Authority)
	if err != nil {
		return nil, nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.New(k.Authority + " contains no certificate")
	}
	return &pair, pool, nil
}

// resetKey derives the key from the private key, so that every process of the
// same daemon has the same one.
func (k *Keys) resetKey() (quic.StatelessResetKey, error) {
	pair, _, err := k.current()
	if err != nil {
		return quic.StatelessResetKey{}, err
	}
	private, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		return quic.StatelessResetKey{}, &Error{Op: "derive reset key", Kind: BadKeys, Err: err}
	}
	return quic.StatelessResetKey(sha256.Sum256(append([]byte("ladderridge stateless reset "), private...))), nil
}

// server returns the TLS configuration for incoming connections.
func (k *Keys) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol, relayProtocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool, err := k.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{protocol, relayProtocol},
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// client returns the TLS configuration for an outgoing connection to the daemon
// with the given id.
func (k *Keys) client(id string) (*tls.Config, error) {
	pair, pool, err := k.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{*pair},
		RootCAs:      pool,
		ServerName:   id,
	}, nil
}
