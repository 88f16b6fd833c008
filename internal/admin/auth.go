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

// Role is a set of permissions.
type Role string

// Roles. An operator may do everything that a viewer may.
const (
	RoleViewer   Role = "viewer"
	RoleOperator Role = "operator"
)

// includes reports whether the role has all permissions of the required one.
func (r Role) includes(required Role) bool {
	return r == required || r == RoleOperator && required == RoleViewer
}

// Principal is the authenticated sender of a request.
type Principal struct {
	Name string
	Role Role
}

// Authenticator authenticates requests.
type Authenticator interface {
	// Authenticate returns the sender of a request, or false if the request carries no
	// valid credentials.
	Authenticate(r *http.Request) (Principal, bool)
}

// AllowAll is an Authenticator that accepts every request without credentials, as
// sent by the same principal. Give it the operator role only if the API listens on
// the loopback interface.
type AllowAll Principal

// Authenticate implements Authenticator.
func (a AllowAll) Authenticate(*http.Request) (Principal, bool) {
	return Principal(a), true
}

// Directory is an Authenticator that identifies principals by bearer token or by
// client certificate. It stores only digests of the tokens.
type Directory struct {
	tokens       []tokenEntry
	certificates map[string]Principal // by the certificate's common name
}

type tokenEntry struct {
	digest    [sha256.Size]byte
	principal Principal
}

// directoryFile is the content of a principals file:
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

// LoadDirectory reads a principals file.
func LoadDirectory(path string) (*Directory, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "admin: read principals file")
	}
	directory, err := ParseDirectory(text)
	return directory, errors.Wrapf(err, "%s", path)
}

// ParseDirectory reads the text of a principals file.
func ParseDirectory(text []byte) (*Directory, error) {
	var file directoryFile
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return nil, errors.Wrap(err, "admin: parse principals file")
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

// addToken checks one [[token]] entry and adds it.
func (d *Directory) addToken(row tokenRow) error {
	if err := checkPrincipal(row.Name, row.Role); err != nil {
		return err
	}
	digest, err := hex.DecodeString(row.SHA256)
	if err != nil || len(digest) != sha256.Size {
		return errors.Newf("admin: the token of %q has no SHA-256 digest of 64 hexadecimal digits", row.Name)
	}
	entry := tokenEntry{principal: Principal{row.Name, row.Role}}
	copy(entry.digest[:], digest)
	d.tokens = append(d.tokens, entry)
	return nil
}

// checkPrincipal checks the name and the role of an entry.
func checkPrincipal(name string, role Role) error {
	if name == "" {
		return errors.New("admin: the principals file has an entry without a name")
	}
	if role != RoleViewer && role != RoleOperator {
		return errors.Newf("admin: %q has the unknown role %q; roles are %q and %q", name, role, RoleViewer, RoleOperator)
	}
	return nil
}

// Authenticate implements Authenticator. A verified client certificate takes
// precedence over a token.
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

// byToken returns the principal with the token. It compares with every digest in
// constant time, so that its duration reveals nothing about the tokens.
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

// byCertificate returns the principal named by a verified client certificate.
func (d *Directory) byCertificate(state *tls.ConnectionState) (Principal, bool) {
	if state == nil || len(state.VerifiedChains) == 0 {
		return Principal{}, false
	}
	principal, known := d.certificates[state.VerifiedChains[0][0].Subject.CommonName]
	return principal, known
}

// ServerTLS returns the TLS configuration of the API's server. If clientCAFile is not
// empty, a client may present a certificate, which must be signed by one of the
// authorities in that file.
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
