package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
)

// Protocol is the ALPN name of the protocol between the system's processes.
const Protocol = "rosemarywind/1"

// Server returns the TLS configuration of the accepting side; any identity of the authority may connect.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			l := r.fresh()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{Protocol},
				Certificates: []tls.Certificate{l.pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    l.roots,
				// A resumed session would outlive a change of the authority.
				SessionTicketsDisabled: true,
				VerifyConnection: func(s tls.ConnectionState) error {
					_, err := PeerIdentity(s)
					return err
				},
			}, nil
		},
	}
}

// Client returns the TLS configuration of the connecting side for a peer of the given role.
func (r *Reloader) Client(expectedRole string) *tls.Config {
	return r.client(func(peer Identity) error {
		if peer.role != expectedRole {
			return fmt.Errorf("peer is %s, expected role %s", peer, expectedRole)
		}
		return nil
	})
}

// ClientFor returns the TLS configuration of the connecting side for one peer.
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
		// Verification by host name is replaced by VerifyConnection: a peer is known by its identity,
		// and the authority is read anew at each handshake, which RootCAs does not allow.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair := r.fresh().pair
			return &pair, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			if err := r.fresh().verify(s.PeerCertificates, x509.ExtKeyUsageServerAuth); err != nil {
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
func (l *loaded) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) (err error) {
	if len(chain) == 0 {
		return fmt.Errorf("peer sent no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err = chain[0].Verify(x509.VerifyOptions{
		Roots: l.roots, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return err
}
