package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/url"
	"strings"
)

// scheme is the scheme of the URI in a certificate's subject alternative names that holds the identity.
const scheme = "rosemarywind"

// Identity is the role and the name of a process, as its certificate holds them.
type Identity struct {
	role string
	name string
}

// NewIdentity returns an identity; it fails if a part is empty, a dot segment, or needs escaping in a URI path.
func NewIdentity(role, name string) (i Identity, err error) {
	for _, s := range []string{role, name} {
		if s == "" || s == "." || s == ".." || url.PathEscape(s) != s {
			return Identity{}, fmt.Errorf("identity %q: role and name must be non-empty and without special characters", role+"/"+name)
		}
	}
	return Identity{role: role, name: name}, nil
}

// Role returns the role of the process: entry, agent or control.
func (i Identity) Role() string { return i.role }

// Name returns the name of the process, which is unique in its role.
func (i Identity) Name() string { return i.name }

// String returns the identity as role/name.
func (i Identity) String() string { return i.role + "/" + i.name }

func (i Identity) uri() *url.URL {
	return &url.URL{Scheme: scheme, Host: i.role, Path: "/" + i.name}
}

// PeerIdentity returns the identity in the leaf certificate of a connection's peer, which the handshake has verified.
func PeerIdentity(state tls.ConnectionState) (i Identity, err error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, fmt.Errorf("peer sent no certificate")
	}
	return identityOf(state.PeerCertificates[0])
}

func identityOf(c *x509.Certificate) (i Identity, err error) {
	found := 0
	for _, u := range c.URIs {
		if u.Scheme != scheme {
			continue
		}
		found++
		if i, err = NewIdentity(u.Host, strings.TrimPrefix(u.Path, "/")); err != nil {
			return Identity{}, err
		}
	}
	if found != 1 {
		return Identity{}, fmt.Errorf("certificate %q has %d identities, needs 1", c.Subject.CommonName, found)
	}
	return i, nil
}
