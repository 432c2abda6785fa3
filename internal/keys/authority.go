package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"net/url"
	"time"
)

// clockSkew is how far a peer's clock may be behind the issuer's for a new certificate to be valid there.
const clockSkew = time.Hour

// Pair is a certificate and its private key, both PEM encoded.
type Pair struct {
	certificate []byte
	key         []byte
}

// NewPair returns a pair of PEM texts; it neither copies nor parses them.
func NewPair(certificate, key []byte) Pair { return Pair{certificate: certificate, key: key} }

// Certificate returns the PEM encoded certificate, which the caller must not modify.
func (p Pair) Certificate() []byte { return p.certificate }

// Key returns the PEM encoded private key, which the caller must not modify.
func (p Pair) Key() []byte { return p.key }

// Authority is a certificate authority: it issues certificates signed with its own key.
type Authority struct {
	pair   Pair
	signer *ecdsa.PrivateKey
	parent *x509.Certificate
}

// NewAuthority returns a self-signed authority that is valid for the given time from now.
func NewAuthority(name string, now time.Time, validity time.Duration) (a *Authority, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("create authority %q: %w", name, err)
		}
	}()
	signer, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate(name, now, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	pair, err := sign(template, template, signer, signer)
	if err != nil {
		return nil, err
	}
	return ParseAuthority(pair)
}

// ParseAuthority returns the authority of a pair that Authority.Pair returned; it fails if the key does not match.
func ParseAuthority(pair Pair) (a *Authority, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("parse authority: %w", err)
		}
	}()
	certificate, _ := pem.Decode(pair.certificate)
	key, _ := pem.Decode(pair.key)
	if certificate == nil || key == nil {
		return nil, fmt.Errorf("certificate or key is not PEM")
	}
	parent, err := x509.ParseCertificate(certificate.Bytes)
	if err != nil {
		return nil, err
	}
	signer, err := x509.ParseECPrivateKey(key.Bytes)
	if err != nil {
		return nil, err
	}
	if !parent.IsCA || !signer.PublicKey.Equal(parent.PublicKey) {
		return nil, fmt.Errorf("certificate is not a CA certificate for this private key")
	}
	return &Authority{pair: pair, signer: signer, parent: parent}, nil
}

// Pair returns the authority's own certificate and signing key.
func (a *Authority) Pair() Pair { return a.pair }

// Issue returns a new key and its certificate for an identity at the given IP addresses, valid for the given time
// from now. The certificate serves for both sides of a connection.
func (a *Authority) Issue(id Identity, ips []netip.Addr, now time.Time, validity time.Duration) (p Pair, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("issue certificate for %s: %w", id, err)
		}
	}()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	template, err := newTemplate(id.String(), now, validity)
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{id.uri()}
	for _, ip := range ips {
		template.IPAddresses = append(template.IPAddresses, net.IP(ip.AsSlice()))
	}
	return sign(template, a.parent, key, a.signer)
}

func newTemplate(name string, now time.Time, validity time.Duration) (c *x509.Certificate, err error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(validity),
		BasicConstraintsValid: true,
	}, nil
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (p Pair, err error) {
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, err
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{
		certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}),
		key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}),
	}, nil
}
