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

// Guards against a peer of another authority, role or name that is taken for the expected one.
func TestHandshake(t *testing.T) {
	a := authority(t)
	server := memory(t, a, "agent", "w1")
	client := memory(t, a, "entry", "e1")
	t.Run("both sides learn the peer", func(t *testing.T) {
		own, peer, err := handshake(t, server.Server(), client.Client("agent"))
		require.NoError(t, err)
		assert.Equal(t, "agent/w1", own.String())
		assert.Equal(t, "entry/e1", peer.String())
	})
	t.Run("the named peer", func(t *testing.T) {
		_, _, err := handshake(t, server.Server(), client.ClientFor(identity(t, "agent", "w1")))
		require.NoError(t, err)
	})
	t.Run("another role", func(t *testing.T) {
		assertRefused(t, server.Server(), client.Client("control"), "expected role control")
	})
	t.Run("another name", func(t *testing.T) {
		assertRefused(t, server.Server(), client.ClientFor(identity(t, "agent", "w2")), "expected agent/w2")
	})
	t.Run("another authority of the server", func(t *testing.T) {
		other := memory(t, authority(t), "agent", "w1")
		assertRefused(t, other.Server(), client.Client("agent"), "unknown authority")
	})
	t.Run("another authority of the client", func(t *testing.T) {
		other := authority(t)
		stranger, err := keys.NewMemory(issue(t, other, "entry", "e1"), pairsOf(a, other))
		require.NoError(t, err)
		assertRefused(t, server.Server(), stranger.Client("agent"), "unknown certificate authority")
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

// Guards against changed files that are not taken up, and against broken ones that replace usable ones.
func TestReload(t *testing.T) {
	a := authority(t)
	folder := t.TempDir()
	cert, key, ca := filepath.Join(folder, "c"), filepath.Join(folder, "k"), filepath.Join(folder, "a")
	require.NoError(t, a.WriteAuthority(ca))
	require.NoError(t, issue(t, a, "agent", "w1").WriteFiles(cert, key))
	var problems []error
	r, err := keys.NewReloader(cert, key, ca, keys.WithOnError(func(err error) { problems = append(problems, err) }))
	require.NoError(t, err)
	client := memory(t, a, "entry", "e1")

	t.Run("files are for their owner only", func(t *testing.T) {
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
	t.Run("a broken file keeps the old pair and is reported once", func(t *testing.T) {
		require.NoError(t, os.WriteFile(cert, []byte("broken"), 0o600))
		assertServes(t, r, client, "agent/w2")
		assertServes(t, r, client, "agent/w2")
		require.Len(t, problems, 1)
		assert.ErrorContains(t, problems[0], "earlier ones stay in use")
	})
	t.Run("a certificate of another authority keeps the old pair", func(t *testing.T) {
		require.NoError(t, issue(t, authority(t), "agent", "w3").WriteFiles(cert, key))
		assertServes(t, r, client, "agent/w2")
		assert.Len(t, problems, 2)
	})
	t.Run("a new authority is used by the next handshake", func(t *testing.T) {
		b := authority(t)
		require.NoError(t, b.WriteAuthority(ca))
		require.NoError(t, issue(t, b, "agent", "w4").WriteFiles(cert, key))
		assertServes(t, r, memory(t, b, "entry", "e1"), "agent/w4")
		assertRefused(t, r.Server(), client.Client("agent"), "unknown authority")
	})
	t.Run("an expired certificate keeps the old pair", func(t *testing.T) {
		before, at := r.ExpiresAt(), time.Now().Add(-time.Minute)
		b, err := keys.NewAuthority("trial", time.Now(), time.Hour)
		require.NoError(t, err)
		expired, err := b.Issue(identity(t, "agent", "w5"), loopback, at, time.Second)
		require.NoError(t, err)
		require.NoError(t, b.WriteAuthority(ca))
		require.NoError(t, expired.WriteFiles(cert, key))
		assert.Equal(t, before, r.ExpiresAt())
		assert.Equal(t, "agent/w4", r.Identity().String())
		assert.ErrorContains(t, problems[len(problems)-1], "expired")
	})
	t.Run("missing files at the start", func(t *testing.T) {
		_, err := keys.NewReloader(filepath.Join(folder, "none"), key, ca)
		assert.ErrorIs(t, err, os.ErrNotExist)
	})
}

// Guards against an established connection that a change of the key files cuts.
func TestReloadKeepsConnections(t *testing.T) {
	a := authority(t)
	folder := t.TempDir()
	cert, key, ca := filepath.Join(folder, "c"), filepath.Join(folder, "k"), filepath.Join(folder, "a")
	require.NoError(t, a.WriteAuthority(ca))
	require.NoError(t, issue(t, a, "agent", "w1").WriteFiles(cert, key))
	r, err := keys.NewReloader(cert, key, ca)
	require.NoError(t, err)
	client := memory(t, a, "entry", "e1")

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

// Guards against an identity that stands for two processes or for none.
func TestIdentity(t *testing.T) {
	for _, bad := range [][2]string{{"", "a"}, {"agent", ""}, {"agent", "a/b"}, {"agent", "a?b"}, {"agent", ".."}} {
		t.Run(bad[0]+" "+bad[1], func(t *testing.T) {
			_, err := keys.NewIdentity(bad[0], bad[1])
			assert.Error(t, err)
		})
	}
}

// Guards against an authority that is read back with the wrong key.
func TestParseAuthority(t *testing.T) {
	a, b := authority(t), authority(t)
	_, err := keys.ParseAuthority(keys.NewPair(a.Pair().Certificate(), b.Pair().Key()))
	assert.ErrorContains(t, err, "not an authority of this key")
	_, err = keys.ParseAuthority(keys.NewPair([]byte("x"), []byte("y")))
	assert.ErrorContains(t, err, "not PEM")
}

// Guards against a token that is accepted without its digest.
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

func memory(t *testing.T, a *keys.Authority, role, name string) *keys.Reloader {
	t.Helper()
	r, err := keys.NewMemory(issue(t, a, role, name), a.Pair().Certificate())
	require.NoError(t, err)
	return r
}

func pairsOf(list ...*keys.Authority) (certificates []byte) {
	for _, a := range list {
		certificates = append(certificates, a.Pair().Certificate()...)
	}
	return certificates
}

// handshake returns what the client and the server learned of each other.
func handshake(t *testing.T, server, client *tls.Config) (ofServer, ofClient keys.Identity, err error) {
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
		// The client learns at its first read that the server refused its certificate.
		_, err = c.Read(make([]byte, 1))
	}
	_ = b.Close()
	serverErr := <-done
	if err != nil {
		return ofServer, ofClient, err
	}
	require.NoError(t, serverErr)
	ofServer, err = keys.PeerIdentity(c.ConnectionState())
	require.NoError(t, err)
	ofClient, err = keys.PeerIdentity(s.ConnectionState())
	return ofServer, ofClient, err
}

func assertRefused(t *testing.T, server, client *tls.Config, part string) {
	t.Helper()
	_, _, err := handshake(t, server, client)
	assert.ErrorContains(t, err, part)
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

// Guards against processes that talk to anybody because nobody said how they know each other.
func TestNetwork(t *testing.T) {
	t.Run("trusted: peers without key files talk", func(t *testing.T) {
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
