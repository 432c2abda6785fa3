package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
)

// Protocol is the ALPN name of the protocol between the processes of a system.
const Protocol = "rosemarywind/1"

// Server returns the TLS configuration of the accepting side, which admits any identity that the authority certified.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := r.reload()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{Protocol},
				Certificates: []tls.Certificate{c.pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    c.roots,
				// A resumed session would still be accepted after the authority is replaced.
				SessionTicketsDisabled: true,
				VerifyConnection: func(s tls.ConnectionState) error {
					_, err := PeerIdentity(s)
					return err
				},
			}, nil
		},
	}
}

// Client returns the TLS configuration of the connecting side, which accepts any peer of the expected role.
func (r *Reloader) Client(expectedRole string) *tls.Config {
	return r.client(func(peer Identity) error {
		if peer.role != expectedRole {
			return fmt.Errorf("peer is %s, expected role %s", peer, expectedRole)
		}
		return nil
	})
}

// ClientFor returns the TLS configuration of the connecting side, which accepts only the expected peer.
func (r *Reloader) ClientFor(expected Identity) *tls.Config {
	return r.client(func(peer Identity) error {
		if peer != expected {
			return fmt.Errorf("peer is %s, expected %s", peer, expected)
		}
		return nil
	})
}

func (r *Reloader) client(check func(Identity) error) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		// VerifyConnection replaces the verification by host name: a peer is known by its identity,
		// and the authority is read again at each handshake, which RootCAs does not allow.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair := r.reload().pair
			return &pair, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			if err := r.reload().verify(s.PeerCertificates, x509.ExtKeyUsageServerAuth); err != nil {
				return err
			}
			peer, err := PeerIdentity(s)
			if err != nil {
				return err
			}
			return check(peer)
		},
	}
}

// verify checks a certificate chain, leaf first, against the authority.
func (cr *credentials) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) (err error) {
	if len(chain) == 0 {
		return fmt.Errorf("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err = chain[0].Verify(x509.VerifyOptions{
		Roots: cr.roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return err
}
