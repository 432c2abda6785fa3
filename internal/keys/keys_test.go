package keys_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/keys"
)

var loopback = []netip.Addr{netip.MustParseAddr("127.0.0.1")}

// Guards against accepting a peer whose certificate has another authority, role or name than expected.
func TestHandshake(t *testing.T) {
	a := authority(t)
	server := staticReloader(t, a, "agent", "w1")
	client := staticReloader(t, a, "entry", "e1")
	t.Run("both sides receive the identity of the peer", func(t *testing.T) {
		serverID, clientID, err := handshake(t, server.Server(), client.Client("agent"))
		require.NoError(t, err)
		assert.Equal(t, "agent/w1", serverID.String())
		assert.Equal(t, "entry/e1", clientID.String())
	})
	t.Run("expected name", func(t *testing.T) {
		_, _, err := handshake(t, server.Server(), client.ClientFor(identity(t, "agent", "w1")))
		require.NoError(t, err)
	})
	t.Run("another role", func(t *testing.T) {
		assertRefused(t, server.Server(), client.Client("control"), "expected role control")
	})
	t.Run("another name", func(t *testing.T) {
		assertRefused(t, server.Server(), client.ClientFor(identity(t, "agent", "w2")), "expected agent/w2")
	})
	t.Run("server certificate of another authority", func(t *testing.T) {
		other := staticReloader(t, authority(t), "agent", "w1")
		assertRefused(t, other.Server(), client.Client("agent"), "unknown authority")
	})
	t.Run("client certificate of another authority", func(t *testing.T) {
		other := authority(t)
		foreign, err := keys.NewStaticReloader(issue(t, other, "entry", "e1"), certificatesOf(a, other))
		require.NoError(t, err)
		assertRefused(t, server.Server(), foreign.Client("agent"), "unknown certificate authority")
	})
	t.Run("no client certificate", func(t *testing.T) {
		c := client.Client("agent")
		c.GetClientCertificate = nil
		assertRefused(t, server.Server(), c, "certificate required")
	})
	t.Run("another protocol", func(t *testing.T) {
		c := client.Client("agent")
		c.NextProtos = []string{"rosemarywind/0"}
		assertRefused(t, server.Server(), c, "no application protocol")
	})
}

// Guards against ignoring changed key files, and against replacing valid credentials by files that cannot be used.
func TestReload(t *testing.T) {
	a := authority(t)
	folder := t.TempDir()
	cert, key, ca := filepath.Join(folder, "c"), filepath.Join(folder, "k"), filepath.Join(folder, "a")
	require.NoError(t, a.WriteCertificate(ca))
	require.NoError(t, issue(t, a, "agent", "w1").WriteFiles(cert, key))
	var reported []error
	r, err := keys.NewReloader(cert, key, ca, keys.WithOnError(func(err error) { reported = append(reported, err) }))
	require.NoError(t, err)
	client := staticReloader(t, a, "entry", "e1")

	t.Run("files are readable by their owner only", func(t *testing.T) {
		for _, f := range []string{cert, key, ca} {
			info, err := os.Stat(f)
			require.NoError(t, err)
			assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
		}
	})
	t.Run("a new pair is used by the next handshake", func(t *testing.T) {
		assertServes(t, r, client, "agent/w1")
		require.NoError(t, issue(t, a, "agent", "w2").WriteFiles(cert, key))
		assertServes(t, r, client, "agent/w2")
	})
	t.Run("a malformed file keeps the old pair and is reported once", func(t *testing.T) {
		require.NoError(t, os.WriteFile(cert, []byte("broken"), 0o600))
		assertServes(t, r, client, "agent/w2")
		assertServes(t, r, client, "agent/w2")
		require.Len(t, reported, 1)
		assert.ErrorContains(t, reported[0], "earlier ones stay in use")
	})
	t.Run("a certificate of another authority keeps the old pair", func(t *testing.T) {
		require.NoError(t, issue(t, authority(t), "agent", "w3").WriteFiles(cert, key))
		assertServes(t, r, client, "agent/w2")
		assert.Len(t, reported, 2)
	})
	t.Run("a new authority is used by the next handshake", func(t *testing.T) {
		b := authority(t)
		require.NoError(t, b.WriteCertificate(ca))
		require.NoError(t, issue(t, b, "agent", "w4").WriteFiles(cert, key))
		assertServes(t, r, staticReloader(t, b, "entry", "e1"), "agent/w4")
		assertRefused(t, r.Server(), client.Client("agent"), "unknown authority")
	})
	t.Run("an expired certificate keeps the old pair", func(t *testing.T) {
		before, at := r.ExpiresAt(), time.Now().Add(-time.Minute)
		b, err := keys.NewAuthority("trial", time.Now(), time.Hour)
		require.NoError(t, err)
		expired, err := b.Issue(identity(t, "agent", "w5"), loopback, at, time.Second)
		require.NoError(t, err)
		require.NoError(t, b.WriteCertificate(ca))
		require.NoError(t, expired.WriteFiles(cert, key))
		assert.Equal(t, before, r.ExpiresAt())
		assert.Equal(t, "agent/w4", r.Identity().String())
		assert.ErrorContains(t, reported[len(reported)-1], "expired")
	})
	t.Run("missing file at the start", func(t *testing.T) {
		_, err := keys.NewReloader(filepath.Join(folder, "none"), key, ca)
		assert.ErrorIs(t, err, os.ErrNotExist)
	})
}

// Guards against closing established connections when the key files change.
func TestReloadKeepsConnections(t *testing.T) {
	a := authority(t)
	folder := t.TempDir()
	cert, key, ca := filepath.Join(folder, "c"), filepath.Join(folder, "k"), filepath.Join(folder, "a")
	require.NoError(t, a.WriteCertificate(ca))
	require.NoError(t, issue(t, a, "agent", "w1").WriteFiles(cert, key))
	r, err := keys.NewReloader(cert, key, ca)
	require.NoError(t, err)
	client := staticReloader(t, a, "entry", "e1")

	l, err := quic.ListenAddr("127.0.0.1:0", r.Server(), nil)
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	first, err := quic.DialAddr(ctx, l.Addr().String(), client.Client("agent"), nil)
	require.NoError(t, err)
	accepted, err := l.Accept(ctx)
	require.NoError(t, err)
	require.NoError(t, issue(t, a, "agent", "w2").WriteFiles(cert, key))
	second, err := quic.DialAddr(ctx, l.Addr().String(), client.Client("agent"), nil)
	require.NoError(t, err)

	assertPeer(t, first, "agent/w1")
	assertPeer(t, second, "agent/w2")
	assertPeer(t, accepted, "entry/e1")
	s, err := first.OpenUniStream()
	require.NoError(t, err)
	_, err = s.Write([]byte("x"))
	require.NoError(t, err)
	_, err = accepted.AcceptUniStream(ctx)
	require.NoError(t, err)
}

// Guards against an identity that is ambiguous in a URI or empty, so that two processes or none would match it.
func TestIdentity(t *testing.T) {
	for _, bad := range [][2]string{{"", "a"}, {"agent", ""}, {"agent", "a/b"}, {"agent", "a?b"}, {"agent", ".."}} {
		t.Run(bad[0]+" "+bad[1], func(t *testing.T) {
			_, err := keys.NewIdentity(bad[0], bad[1])
			assert.Error(t, err)
		})
	}
}

// Guards against loading an authority with a key that is not its own.
func TestParseAuthority(t *testing.T) {
	a, b := authority(t), authority(t)
	_, err := keys.ParseAuthority(keys.NewPair(a.Pair().Certificate(), b.Pair().Key()))
	assert.ErrorContains(t, err, "not a CA certificate for this private key")
	_, err = keys.ParseAuthority(keys.NewPair([]byte("x"), []byte("y")))
	assert.ErrorContains(t, err, "not PEM")
}

// Guards against accepting a token whose digest is not listed, such as an empty one or a digest sent as a token.
func TestToken(t *testing.T) {
	one, two := keys.NewToken(), keys.NewToken()
	assert.NotEqual(t, one, two)
	assert.Regexp(t, "^sha256:[0-9a-f]{64}$", keys.Digest(one))
	assert.True(t, keys.Match(one, []string{keys.Digest(two), keys.Digest(one)}))
	assert.False(t, keys.Match(one, []string{keys.Digest(two)}))
	assert.False(t, keys.Match(one, nil))
	assert.False(t, keys.Match("", []string{keys.Digest("")}))
	assert.False(t, keys.Match(one, []string{one}))
}

func authority(t *testing.T) *keys.Authority {
	t.Helper()
	a, err := keys.NewAuthority("trial", time.Now(), time.Hour)
	require.NoError(t, err)
	return a
}

func identity(t *testing.T, role, name string) keys.Identity {
	t.Helper()
	id, err := keys.NewIdentity(role, name)
	require.NoError(t, err)
	return id
}

func issue(t *testing.T, a *keys.Authority, role, name string) keys.Pair {
	t.Helper()
	p, err := a.Issue(identity(t, role, name), loopback, time.Now(), time.Hour)
	require.NoError(t, err)
	return p
}

func staticReloader(t *testing.T, a *keys.Authority, role, name string) *keys.Reloader {
	t.Helper()
	r, err := keys.NewStaticReloader(issue(t, a, role, name), a.Pair().Certificate())
	require.NoError(t, err)
	return r
}

func certificatesOf(list ...*keys.Authority) (certificates []byte) {
	for _, a := range list {
		certificates = append(certificates, a.Pair().Certificate()...)
	}
	return certificates
}

// handshake returns the identity of the server as the client sees it, and of the client as the server sees it.
func handshake(t *testing.T, server, client *tls.Config) (serverID, clientID keys.Identity, err error) {
	t.Helper()
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	s, c := tls.Server(a, server), tls.Client(b, client)
	done := make(chan error, 1)
	go func() {
		err := s.HandshakeContext(t.Context())
		if err == nil {
			_, err = s.Write([]byte("x"))
		}
		done <- err
	}()
	if err = c.HandshakeContext(t.Context()); err == nil {
		// A refusal of the client certificate reaches the client with its first read only.
		_, err = c.Read(make([]byte, 1))
	}
	_ = b.Close()
	serverErr := <-done
	if err != nil {
		return serverID, clientID, err
	}
	require.NoError(t, serverErr)
	serverID, err = keys.PeerIdentity(c.ConnectionState())
	require.NoError(t, err)
	clientID, err = keys.PeerIdentity(s.ConnectionState())
	return serverID, clientID, err
}

func assertRefused(t *testing.T, server, client *tls.Config, message string) {
	t.Helper()
	_, _, err := handshake(t, server, client)
	assert.ErrorContains(t, err, message)
}

func assertServes(t *testing.T, server, client *keys.Reloader, want string) {
	t.Helper()
	got, _, err := handshake(t, server.Server(), client.Client("agent"))
	require.NoError(t, err)
	assert.Equal(t, want, got.String())
}

func assertPeer(t *testing.T, c *quic.Conn, want string) {
	t.Helper()
	got, err := keys.PeerIdentity(c.ConnectionState().TLS)
	require.NoError(t, err)
	assert.Equal(t, want, got.String())
}

// Guards against connections without authentication when the network is not explicitly set to trusted.
func TestNetwork(t *testing.T) {
	t.Run("trusted: TLS without key files", func(t *testing.T) {
		server, _, err := keys.Trusted.TLS(time.Now())
		require.NoError(t, err)
		_, client, err := keys.Trusted.TLS(time.Now())
		require.NoError(t, err)
		assert.Empty(t, server.ClientCAs)
		assert.Equal(t, []string{keys.Protocol}, client.NextProtos)
	})
	for _, n := range []keys.Network{keys.Authenticated, "", "open"} {
		t.Run("refused: "+string(n), func(t *testing.T) {
			_, _, err := n.TLS(time.Now())
			assert.Error(t, err)
		})
	}
}
