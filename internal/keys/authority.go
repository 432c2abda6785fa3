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

// clockSkew is how far behind another host's clock may be when it checks a new certificate.
const clockSkew = time.Hour

// Pair is a certificate and its private key as PEM texts.
type Pair struct {
	certificate []byte
	key         []byte
}

// NewPair returns a pair from PEM texts.
func NewPair(certificate, key []byte) Pair { return Pair{certificate: certificate, key: key} }

// Certificate returns the certificate as PEM text, which the caller must not modify.
func (p Pair) Certificate() []byte { return p.certificate }

// Key returns the private key as PEM text, which the caller must not modify.
func (p Pair) Key() []byte { return p.key }

// Authority issues certificates that are signed by its own key.
type Authority struct {
	pair   Pair
	signer *ecdsa.PrivateKey
	parent *x509.Certificate
}

// NewAuthority returns a self-signed authority that is valid for life from now.
func NewAuthority(name string, now time.Time, life time.Duration) (a *Authority, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("make authority %q: %w", name, err)
		}
	}()
	signer, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate(name, now, life)
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

// ParseAuthority returns the authority of a pair that NewAuthority made.
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
		return nil, fmt.Errorf("certificate is not an authority of this key")
	}
	return &Authority{pair: pair, signer: signer, parent: parent}, nil
}

// Pair returns the authority's own certificate and key.
func (a *Authority) Pair() Pair { return a.pair }

// Issue returns a certificate for an identity at the given IP addresses, valid for life from now.
func (a *Authority) Issue(id Identity, addresses []netip.Addr, now time.Time, life time.Duration) (p Pair, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("issue certificate for %s: %w", id, err)
		}
	}()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	template, err := newTemplate(id.String(), now, life)
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{id.uri()}
	for _, ip := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(ip.AsSlice()))
	}
	return sign(template, a.parent, key, a.signer)
}

func newTemplate(name string, now time.Time, life time.Duration) (c *x509.Certificate, err error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(life),
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
