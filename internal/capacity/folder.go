package capacity

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"rosemarywind.example/rosemarywind/internal/keys"
)

const (
	certificateValidity = 24 * time.Hour
	authorityFile       = "authority.pem"
	authorityKeyFile    = "authority.key"
	tokenFile           = "token"
)

// Prepare writes an authority, an operator token and the keys and settings of one control process into folder.
func Prepare(folder, quicAddress, httpAddress string, now time.Time) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("prepare %s: %w", folder, err)
		}
	}()
	if err = os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	a, err := keys.NewAuthority("capacity", now, certificateValidity)
	if err != nil {
		return err
	}
	path := func(name string) string { return filepath.Join(folder, name) }
	if err = a.Pair().WriteFiles(path(authorityFile), path(authorityKeyFile)); err != nil {
		return err
	}
	id, err := keys.NewIdentity("control", "c1")
	if err != nil {
		return err
	}
	pair, err := a.Issue(id, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, now, certificateValidity)
	if err != nil {
		return err
	}
	if err = pair.WriteFiles(path("c1.pem"), path("c1.key")); err != nil {
		return err
	}
	token := keys.NewToken()
	if err = os.WriteFile(path(tokenFile), []byte(token), 0o600); err != nil {
		return err
	}
	return os.WriteFile(path("c1.toml"), []byte(formatSettings(folder, quicAddress, httpAddress, token)), 0o600)
}

func formatSettings(folder, quicAddress, httpAddress, token string) string {
	return fmt.Sprintf(`name = "c1"
availability_zone = "az1"
data = %q
listen = %q
operator_token_digests = [%q]
[operators]
listen = %q
[keys]
certificate = %q
key = %q
authority = %q
[log]
level = "error"
[members]
c1 = %q
`, filepath.Join(folder, "data"), quicAddress, keys.Digest(token), httpAddress,
		filepath.Join(folder, "c1.pem"), filepath.Join(folder, "c1.key"), filepath.Join(folder, authorityFile), quicAddress)
}

// issuer issues certificates with the authority of a prepared folder.
type issuer struct {
	authority *keys.Authority
	now       time.Time
}

func openIssuer(folder string, now time.Time) (i *issuer, err error) {
	pair, err := keys.ReadPair(filepath.Join(folder, authorityFile), filepath.Join(folder, authorityKeyFile))
	if err != nil {
		return nil, err
	}
	a, err := keys.ParseAuthority(pair)
	if err != nil {
		return nil, err
	}
	return &issuer{authority: a, now: now}, nil
}

func (i *issuer) newReloader(role, name string) (r *keys.Reloader, err error) {
	id, err := keys.NewIdentity(role, name)
	if err != nil {
		return nil, err
	}
	pair, err := i.authority.Issue(id, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, i.now, certificateValidity)
	if err != nil {
		return nil, err
	}
	return keys.NewStaticReloader(pair, i.authority.Pair().Certificate())
}
