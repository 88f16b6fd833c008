package admin

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/publish"
)

// authority is a certificate authority that keeps its files in a temporary directory.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{dir: t.TempDir()}
	a.cert, a.key = a.issue(t, "authority")
	return a
}

// issue creates a certificate and key for a common name and writes them to NAME.pem and
// NAME.key. The first certificate is self-signed and signs all later ones.
func (a *authority) issue(t *testing.T, name string) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  a.cert == nil,
		BasicConstraintsValid: true,
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	a.write(t, name+".pem", "CERTIFICATE", der)
	a.write(t, name+".key", "EC PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return cert, key
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(t, os.WriteFile(a.file(name), data, 0o600))
}

func (a *authority) file(name string) string {
	return filepath.Join(a.dir, name)
}

// client returns an HTTP client that trusts a. It presents the certificate that issuer
// issued for name, none if name is empty.
func (a *authority) client(t *testing.T, issuer *authority, name string) *http.Client {
	t.Helper()
	config := &tls.Config{RootCAs: x509.NewCertPool()}
	config.RootCAs.AddCert(a.cert)
	if name != "" {
		pair, err := tls.LoadX509KeyPair(issuer.file(name+".pem"), issuer.file(name+".key"))
		assert.NilError(t, err)
		config.Certificates = []tls.Certificate{pair}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
}

// TestClientCertificates checks that only a certificate of the configured authority with
// the name of a principal may publish. A certificate of another authority fails the
// TLS handshake, so the client cannot know the result.
func TestClientCertificates(t *testing.T) {
	a, stranger := newAuthority(t), newAuthority(t)
	for _, name := range []string{"server", "anna", "nobody"} {
		a.issue(t, name)
	}
	stranger.issue(t, "anna")
	directory, err := ParseDirectory([]byte("[[certificate]]\nname='anna'\nrole='operator'\n"))
	assert.NilError(t, err)
	config, err := ServerTLS(a.file("server.pem"), a.file("server.key"), a.file("authority.pem"))
	assert.NilError(t, err)
	system := newFakeSystem()
	server := httptest.NewUnstartedServer(NewHandler(system, directory))
	server.TLS = config
	server.StartTLS()
	t.Cleanup(server.Close)

	for _, c := range []struct {
		name   string
		client *http.Client
		want   publish.Status
	}{
		{"no certificate", a.client(t, nil, ""), publish.NotAppended},
		{"unknown name", a.client(t, a, "nobody"), publish.NotAppended},
		{"other authority", a.client(t, stranger, "anna"), publish.Unknown},
		{"known name", a.client(t, a, "anna"), publish.Accepted},
	} {
		t.Run(c.name, func(t *testing.T) {
			reply := NewClient(server.URL, "", c.client).PublishSettings(context.Background(), "a", 0, "", []byte(file))
			assert.Equal(t, reply.Status, c.want, reply.Reason)
		})
	}
	assert.Equal(t, len(system.authors), 1)
}
