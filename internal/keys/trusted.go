package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"time"
)

// trustedLife is how long the certificate of a process on a trusted network is valid.
const trustedLife = 10 * 365 * 24 * time.Hour

// Network says how the processes of a system know each other.
type Network string

const (
	// Authenticated is a network on which each process proves its identity with its key files.
	Authenticated Network = "authenticated"
	// Trusted is a network on which every host is trusted: traffic is encrypted, and no peer is authenticated.
	Trusted Network = "trusted"
)

// TLS returns the TLS configurations of both sides of a process without key files, which only a trusted network allows.
func (n Network) TLS(now time.Time) (server, client *tls.Config, err error) {
	switch n {
	case Trusted:
		return trusted(now)
	case Authenticated:
		return nil, nil, errors.New("this network needs key files, and there are none; " +
			"the network \"trusted\" needs none, and is for hosts that are all trusted")
	}
	return nil, nil, fmt.Errorf("network %q is neither %q nor %q", n, Authenticated, Trusted)
}

// trusted makes a certificate anew for each process.
func trusted(now time.Time) (server, client *tls.Config, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("make a certificate for a trusted network: %w", err)
		}
	}()
	a, err := NewAuthority("trusted network", now, trustedLife)
	if err != nil {
		return nil, nil, err
	}
	pair, err := tls.X509KeyPair(a.Pair().Certificate(), a.Pair().Key())
	if err != nil {
		return nil, nil, err
	}
	if pair.Leaf == nil {
		if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
			return nil, nil, err
		}
	}
	server = &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{Protocol}, Certificates: []tls.Certificate{pair},
		SessionTicketsDisabled: true,
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{Protocol},
		// The setting for a trusted network says that peers are not authenticated.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if s.NegotiatedProtocol != Protocol {
				return errors.New("the peer speaks another protocol")
			}
			return nil
		},
	}
	return server, client, nil
}
