package admin

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Role says what a principal may do.
type Role string

// Roles, each of which may do what the ones before it may.
const (
	RoleViewer   Role = "viewer"
	RoleOperator Role = "operator"
)

// includes reports whether the role may do what the wanted one may.
func (r Role) includes(wanted Role) bool {
	return r == wanted || r == RoleOperator && wanted == RoleViewer
}

// Principal is who sends a request.
type Principal struct {
	Name string
	Role Role
}

// Authenticator tells who sends a request.
type Authenticator interface {
	// Authenticate returns the principal, or false where the request proves none.
	Authenticate(r *http.Request) (Principal, bool)
}

// Everybody is an Authenticator that takes every request as one of the same
// principal. It is for a system that listens on loopback only.
type Everybody Principal

// Authenticate implements Authenticator.
func (e Everybody) Authenticate(*http.Request) (Principal, bool) {
	return Principal(e), true
}

// Directory is an Authenticator that knows principals by bearer tokens and by
// client certificates. It holds digests of the tokens only.
type Directory struct {
	tokens       []tokenEntry
	certificates map[string]Principal
}

type tokenEntry struct {
	digest    [sha256.Size]byte
	principal Principal
}

// directoryFile is the form of a file of principals:
//
//	[[token]]
//	name = "anna"
//	role = "operator"
//	sha256 = "..." # hexadecimal digest of the token
//
//	[[certificate]]
//	name = "bela" # common name
//	role = "viewer"
type directoryFile struct {
	Token       []tokenRow       `toml:"token"`
	Certificate []certificateRow `toml:"certificate"`
}

type tokenRow struct {
	Name   string `toml:"name"`
	Role   Role   `toml:"role"`
	SHA256 string `toml:"sha256"`
}

type certificateRow struct {
	Name string `toml:"name"`
	Role Role   `toml:"role"`
}

// LoadDirectory reads a file of principals.
func LoadDirectory(path string) (*Directory, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "admin: read principals")
	}
	directory, err := ParseDirectory(text)
	return directory, errors.Wrapf(err, "%s", path)
}

// ParseDirectory reads the text of a file of principals.
func ParseDirectory(text []byte) (*Directory, error) {
	var file directoryFile
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return nil, errors.Wrap(err, "admin: principals")
	}
	directory := &Directory{certificates: make(map[string]Principal)}
	for _, row := range file.Token {
		if err := directory.addToken(row); err != nil {
			return nil, err
		}
	}
	for _, row := range file.Certificate {
		if err := checkPrincipal(row.Name, row.Role); err != nil {
			return nil, err
		}
		directory.certificates[row.Name] = Principal(row)
	}
	return directory, nil
}

func (d *Directory) addToken(row tokenRow) error {
	if err := checkPrincipal(row.Name, row.Role); err != nil {
		return err
	}
	digest, err := hex.DecodeString(row.SHA256)
	if err != nil || len(digest) != sha256.Size {
		return errors.Newf("admin: the token of %q has no SHA-256 digest in hexadecimal", row.Name)
	}
	entry := tokenEntry{principal: Principal{row.Name, row.Role}}
	copy(entry.digest[:], digest)
	d.tokens = append(d.tokens, entry)
	return nil
}

func checkPrincipal(name string, role Role) error {
	if name == "" {
		return errors.New("admin: a principal without a name")
	}
	if role != RoleViewer && role != RoleOperator {
		return errors.Newf("admin: %q has the unknown role %q; roles are %q and %q", name, role, RoleViewer, RoleOperator)
	}
	return nil
}

// Authenticate implements Authenticator. A verified client certificate goes
// before a token.
func (d *Directory) Authenticate(r *http.Request) (Principal, bool) {
	if principal, known := d.byCertificate(r.TLS); known {
		return principal, true
	}
	token, present := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !present {
		return Principal{}, false
	}
	return d.byToken(token)
}

// byToken compares with every digest, so that its time tells nothing of the token.
func (d *Directory) byToken(token string) (Principal, bool) {
	digest := sha256.Sum256([]byte(token))
	found := -1
	for i := range d.tokens {
		equal := subtle.ConstantTimeCompare(digest[:], d.tokens[i].digest[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return Principal{}, false
	}
	return d.tokens[found].principal, true
}

func (d *Directory) byCertificate(state *tls.ConnectionState) (Principal, bool) {
	if state == nil || len(state.VerifiedChains) == 0 {
		return Principal{}, false
	}
	principal, known := d.certificates[state.VerifiedChains[0][0].Subject.CommonName]
	return principal, known
}

// ServerTLS returns a configuration for the API over TLS. Where clientCAFile
// is not empty, client certificates that its authorities signed are verified.
func ServerTLS(certFile, keyFile, clientCAFile string) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "admin: load certificate")
	}
	config := &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS13,
	}
	if clientCAFile == "" {
		return config, nil
	}
	authorities, err := os.ReadFile(clientCAFile)
	if err != nil {
		return nil, errors.Wrap(err, "admin: read client authorities")
	}
	config.ClientCAs = x509.NewCertPool()
	if !config.ClientCAs.AppendCertsFromPEM(authorities) {
		return nil, errors.Newf("admin: %s holds no certificate", clientCAFile)
	}
	config.ClientAuth = tls.VerifyClientCertIfGiven
	return config, nil
}
