package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"time"
)

// trustedCertificateValidity is the validity of the certificate that a process on a trusted network creates for itself.
const trustedCertificateValidity = 10 * 365 * 24 * time.Hour

// Network states whether the processes of a system authenticate each other.
type Network string

const (
	// Authenticated is a network on which each process proves its identity with its key files.
	Authenticated Network = "authenticated"
	// Trusted is a network on which every host is trusted: traffic is encrypted, but no peer is authenticated.
	Trusted Network = "trusted"
)

// TLS returns the TLS configurations of a process without key files, for connections that it accepts and that it opens.
// It fails unless the network is Trusted.
func (n Network) TLS(now time.Time) (server, client *tls.Config, err error) {
	switch n {
	case Trusted:
		return newTrustedTLS(now)
	case Authenticated:
		return nil, nil, errors.New("network \"authenticated\" requires key files, and none are set; " +
			"network \"trusted\" requires none, but every host on it must be trusted")
	}
	return nil, nil, fmt.Errorf("network %q is neither %q nor %q", n, Authenticated, Trusted)
}

// newTrustedTLS returns configurations with a new self-signed certificate, which peers do not verify.
func newTrustedTLS(now time.Time) (server, client *tls.Config, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("create certificate for trusted network: %w", err)
		}
	}()
	a, err := NewAuthority("trusted network", now, trustedCertificateValidity)
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
		// On a trusted network peers are not authenticated.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if s.NegotiatedProtocol != Protocol {
				return errors.New("peer negotiated another protocol")
			}
			return nil
		},
	}
	return server, client, nil
}
