package keys

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// Reloader holds a process's key material and reads its files anew at each handshake.
type Reloader struct {
	read    func() (material, error)
	current atomic.Pointer[loaded]
	refused atomic.Pointer[string]
	onError func(error)
}

// material is the content of the three PEM files.
type material struct {
	certificate []byte
	key         []byte
	authority   []byte
}

// loaded is material that was parsed and checked.
type loaded struct {
	material material
	identity Identity
	pair     tls.Certificate
	roots    *x509.CertPool
}

// Option changes a Reloader.
type Option func(*Reloader)

// WithOnError sets the function that is told once of each new content that cannot be used.
func WithOnError(f func(error)) Option {
	return func(r *Reloader) { r.onError = f }
}

// NewReloader returns a reloader of three PEM files; it fails when they cannot be used.
func NewReloader(certificate, key, authority string, options ...Option) (r *Reloader, err error) {
	return newReloader(func() (m material, err error) { return readMaterial(certificate, key, authority) }, options)
}

// NewMemory returns a reloader whose material never changes.
func NewMemory(pair Pair, authority []byte, options ...Option) (r *Reloader, err error) {
	m := material{certificate: pair.certificate, key: pair.key, authority: authority}
	return newReloader(func() (material, error) { return m, nil }, options)
}

func newReloader(read func() (material, error), options []Option) (r *Reloader, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load keys: %w", err)
		}
	}()
	r = &Reloader{read: read, onError: func(error) {}}
	for _, o := range options {
		o(r)
	}
	m, err := read()
	if err != nil {
		return nil, err
	}
	l, err := parseMaterial(m)
	if err != nil {
		return nil, err
	}
	r.current.Store(l)
	return r, nil
}

// Identity returns the identity in the certificate in use.
func (r *Reloader) Identity() Identity { return r.current.Load().identity }

// ExpiresAt returns the end of the validity of the certificate that the next handshake uses.
func (r *Reloader) ExpiresAt() time.Time { return r.fresh().pair.Leaf.NotAfter }

// fresh returns the material of the files, or the last usable one when they cannot be used.
func (r *Reloader) fresh() *loaded {
	old := r.current.Load()
	m, err := r.read()
	if err == nil && m.equal(old.material) {
		r.refused.Store(nil)
		return old
	}
	var l *loaded
	if err == nil {
		l, err = parseMaterial(m)
	}
	if err != nil {
		message := err.Error()
		if last := r.refused.Swap(&message); last == nil || *last != message {
			r.onError(fmt.Errorf("reload keys, the earlier ones stay in use: %w", err))
		}
		return old
	}
	r.refused.Store(nil)
	r.current.Store(l)
	return l
}

func (m material) equal(o material) bool {
	return bytes.Equal(m.certificate, o.certificate) && bytes.Equal(m.key, o.key) && bytes.Equal(m.authority, o.authority)
}

func readMaterial(certificate, key, authority string) (m material, err error) {
	if m.certificate, err = os.ReadFile(certificate); err != nil {
		return material{}, err
	}
	if m.key, err = os.ReadFile(key); err != nil {
		return material{}, err
	}
	m.authority, err = os.ReadFile(authority)
	return m, err
}

func parseMaterial(m material) (l *loaded, err error) {
	l = &loaded{material: m, roots: x509.NewCertPool()}
	if !l.roots.AppendCertsFromPEM(m.authority) {
		return nil, fmt.Errorf("authority holds no PEM certificate")
	}
	if l.pair, err = tls.X509KeyPair(m.certificate, m.key); err != nil {
		return nil, err
	}
	if l.identity, err = identityOf(l.pair.Leaf); err != nil {
		return nil, err
	}
	return l, l.verify([]*x509.Certificate{l.pair.Leaf}, x509.ExtKeyUsageAny)
}
