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

// protocol is the name that both ends of a connection must agree on.
const protocol = "ladderridge/1"

// Identity is what a daemon shows to others and checks them by: Keys or
// OwnKeys.
type Identity interface {
	// server is the TLS configuration for connections that others make.
	server() *tls.Config
	// client is the TLS configuration for a connection to the daemon of that id.
	client(id string) (*tls.Config, error)
	// resetKey signs the resets of connections to an earlier process.
	resetKey() (quic.StatelessResetKey, error)
}

// Keys are the files that a daemon shows and checks other daemons by. They are
// read again when their times change, so that keys can be replaced without a
// restart.
type Keys struct {
	Certificate string
	Key         string
	Authority   string

	mu sync.Mutex
	// read are the times of the files when they were last read.
	read   fileTimes
	pair   *tls.Certificate
	pool   *x509.CertPool
	broken error
}

// fileTimes are when the certificate, the key and the authority were written. All
// of them count: files are replaced one after the other, and may have like times
// when that is done.
type fileTimes [3]time.Time

// Load reads the files; call it once before use, to find faults early.
func (k *Keys) Load() error {
	_, _, err := k.current()
	return err
}

// current returns the keys as the files have them now. Files that have become
// unusable leave the last good keys in force.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := k.changed()
	if k.pair != nil && changed == k.read {
		return k.pair, k.pool, nil
	}
	pair, pool, err := k.load()
	if err != nil && k.pair == nil {
		return nil, nil, &Error{Op: "load keys", Kind: BadKeys, Err: err}
	}
	k.read, k.broken = changed, err
	if err == nil {
		k.pair, k.pool = pair, pool
	}
	return k.pair, k.pool, nil
}

// changed is when the files were written; a file that is not there has no time.
func (k *Keys) changed() fileTimes {
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
		return nil, nil, errors.New(k.Authority + " has no certificate")
	}
	return &pair, pool, nil
}

// resetKey is a key that every process of the same daemon derives alike.
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

// server is the TLS configuration for connections that others make.
func (k *Keys) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool, err := k.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{protocol},
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// client is the TLS configuration for a connection to the daemon of that id.
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
