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

// Reloader holds the certificate, the private key and the authority of a process. If NewReloader made it, it reads their
// files again at each handshake; if NewStaticReloader made it, they never change.
type Reloader struct {
	read    func() (pemFiles, error)
	current atomic.Pointer[credentials]
	// lastError is the message of the last failed reload, so that consecutive equal errors are reported once; nil after
	// a success.
	lastError atomic.Pointer[string]
	onError   func(error)
}

// pemFiles is the content of the three PEM files.
type pemFiles struct {
	certificate []byte
	key         []byte
	authority   []byte
}

// credentials are parsed and verified PEM files.
type credentials struct {
	files    pemFiles
	identity Identity
	pair     tls.Certificate
	roots    *x509.CertPool
}

// Option configures a Reloader.
type Option func(*Reloader)

// WithOnError sets the function that is called with the error of a failed reload, once for consecutive equal errors.
// It is called during a handshake or by ExpiresAt.
func WithOnError(f func(error)) Option {
	return func(r *Reloader) { r.onError = f }
}

// NewReloader returns a reloader of three PEM files; it fails if they cannot be read or verified.
func NewReloader(certificate, key, authority string, options ...Option) (r *Reloader, err error) {
	return newReloader(func() (f pemFiles, err error) { return readPEMFiles(certificate, key, authority) }, options)
}

// NewStaticReloader returns a reloader of fixed credentials, which reads no files; authority is one or more PEM
// certificates.
func NewStaticReloader(pair Pair, authority []byte, options ...Option) (r *Reloader, err error) {
	f := pemFiles{certificate: pair.certificate, key: pair.key, authority: authority}
	return newReloader(func() (pemFiles, error) { return f, nil }, options)
}

func newReloader(read func() (pemFiles, error), options []Option) (r *Reloader, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load keys: %w", err)
		}
	}()
	r = &Reloader{read: read, onError: func(error) {}}
	for _, o := range options {
		o(r)
	}
	f, err := read()
	if err != nil {
		return nil, err
	}
	c, err := parseCredentials(f)
	if err != nil {
		return nil, err
	}
	r.current.Store(c)
	return r, nil
}

// Identity returns the identity in the certificate in use, without reading the files.
func (r *Reloader) Identity() Identity { return r.current.Load().identity }

// ExpiresAt reads the files again and returns when the certificate that the next handshake uses expires.
func (r *Reloader) ExpiresAt() time.Time { return r.reload().pair.Leaf.NotAfter }

// reload reads the files and returns their credentials, or those in use if the files cannot be read or verified.
func (r *Reloader) reload() *credentials {
	old := r.current.Load()
	f, err := r.read()
	if err == nil && f.equal(old.files) {
		r.lastError.Store(nil)
		return old
	}
	var c *credentials
	if err == nil {
		c, err = parseCredentials(f)
	}
	if err != nil {
		message := err.Error()
		if last := r.lastError.Swap(&message); last == nil || *last != message {
			r.onError(fmt.Errorf("reload keys, the earlier ones stay in use: %w", err))
		}
		return old
	}
	r.lastError.Store(nil)
	r.current.Store(c)
	return c
}

func (f pemFiles) equal(o pemFiles) bool {
	return bytes.Equal(f.certificate, o.certificate) && bytes.Equal(f.key, o.key) && bytes.Equal(f.authority, o.authority)
}

func readPEMFiles(certificate, key, authority string) (f pemFiles, err error) {
	if f.certificate, err = os.ReadFile(certificate); err != nil {
		return pemFiles{}, err
	}
	if f.key, err = os.ReadFile(key); err != nil {
		return pemFiles{}, err
	}
	f.authority, err = os.ReadFile(authority)
	return f, err
}

func parseCredentials(f pemFiles) (c *credentials, err error) {
	c = &credentials{files: f, roots: x509.NewCertPool()}
	if !c.roots.AppendCertsFromPEM(f.authority) {
		return nil, fmt.Errorf("authority holds no PEM certificate")
	}
	if c.pair, err = tls.X509KeyPair(f.certificate, f.key); err != nil {
		return nil, err
	}
	if c.identity, err = identityOf(c.pair.Leaf); err != nil {
		return nil, err
	}
	return c, c.verify([]*x509.Certificate{c.pair.Leaf}, x509.ExtKeyUsageAny)
}
