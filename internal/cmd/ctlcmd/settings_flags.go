package ctlcmd

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/admin"
	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/publish"
)

const (
	// defaultAdminAddr is the administration address of a host on this machine.
	defaultAdminAddr = "127.0.0.1:8081"
	// defaultTimeout is the default of -timeout.
	defaultTimeout = 10 * time.Second
	// tokenFileVariable names the environment variable with the default of -token-file.
	tokenFileVariable = "POPLARCTL_TOKEN_FILE"
)

// commandFlags are a subcommand's flags and its help text.
type commandFlags struct {
	*flag.FlagSet
	stdout, stderr io.Writer
}

// newFlags returns the flags of a subcommand. Usage and examples are printed after "poplarctl ".
func newFlags(usage, summary string, examples []string, stdout, stderr io.Writer) *commandFlags {
	f := &commandFlags{flag.NewFlagSet(usage, flag.ContinueOnError), stdout, stderr}
	f.SetOutput(io.Discard)
	f.Usage = func() {
		fmt.Fprintf(f.Output(), "usage: poplarctl %s\n\n%s\n\nFlags:\n", usage, summary)
		f.PrintDefaults()
		fmt.Fprintf(f.Output(), "\nExamples:\n")
		for _, example := range examples {
			fmt.Fprintf(f.Output(), "  poplarctl %s\n", example)
		}
	}
	return f
}

// parse reads flags and arguments in any order and checks that there are low to high
// arguments. If ok is false, the command ends with the code.
func (f *commandFlags) parse(args []string, low, high int) (arguments []string, code int, ok bool) {
	for {
		err := f.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			f.help(f.stdout)
			return nil, cli.ExitOK, false
		}
		if err != nil {
			return nil, f.usageError(err.Error()), false
		}
		if f.NArg() == 0 {
			break
		}
		arguments = append(arguments, f.Arg(0))
		args = f.Args()[1:]
	}
	if len(arguments) < low || len(arguments) > high {
		return nil, f.usageError(fmt.Sprintf("wrong number of arguments: %d", len(arguments))), false
	}
	return arguments, cli.ExitOK, true
}

// usageError prints a message and the help to stderr and returns the exit code.
func (f *commandFlags) usageError(message string) int {
	fmt.Fprintf(f.stderr, "poplarctl: %s\n", message)
	f.help(f.stderr)
	return cli.ExitUsage
}

// help prints the help text.
func (f *commandFlags) help(w io.Writer) {
	f.SetOutput(w)
	f.Usage()
	f.SetOutput(io.Discard)
}

// target holds the flags that say where a command sends its calls: to a host's
// administration API, or directly to the platform's log.
type target struct {
	admin     string
	log       string
	author    string
	tokenFile string
	caFile    string
	certFile  string
	keyFile   string
	timeout   time.Duration
}

// addAdmin adds the flags that choose a host.
func (t *target) addAdmin(f *commandFlags) {
	f.StringVar(&t.admin, "admin", defaultAdminAddr, "administration `address` of a host, or its URL")
	f.StringVar(&t.tokenFile, "token-file", os.Getenv(tokenFileVariable), "`file` with the bearer token; default from "+tokenFileVariable)
	f.StringVar(&t.caFile, "ca", "", "`file` with the certificate authorities that sign hosts' certificates")
	f.StringVar(&t.certFile, "cert", "", "`file` with the client certificate")
	f.StringVar(&t.keyFile, "key-file", "", "`file` with the client certificate's key")
	f.DurationVar(&t.timeout, "timeout", defaultTimeout, "longest time that the command waits for answers")
}

// addLog adds the flags that choose the log in place of a host.
func (t *target) addLog(f *commandFlags) {
	f.StringVar(&t.log, "log", "", "`URL` of the platform's log, to use the log directly instead of a host")
	f.StringVar(&t.author, "author", defaultAuthor(), "author's `name` in records that are written with -log")
}

// defaultAuthor returns the name of the user who runs the command, "operator" if unknown.
func defaultAuthor() string {
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return "operator"
}

// usesLog reports whether the command uses the log directly.
func (t *target) usesLog() bool {
	return t.log != ""
}

// withTimeout bounds a context by the target's timeout.
func (t *target) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, t.timeout)
}

// platformLog returns a client of the log.
func (t *target) platformLog() logservice.Log {
	return logservice.NewClient(strings.TrimRight(t.log, "/"), "", &http.Client{})
}

// publisher reads the log to its end and returns a publisher on it.
func (t *target) publisher(ctx context.Context) (*publish.Publisher, error) {
	return publish.Open(ctx, t.platformLog(), t.author, time.Now)
}

// client returns a client of the host that -admin names.
func (t *target) client() (*admin.Client, error) {
	return t.clientOf(t.admin)
}

// clientOf returns a client of the host at an address.
func (t *target) clientOf(address string) (*admin.Client, error) {
	token, err := t.token()
	if err != nil {
		return nil, err
	}
	config, err := t.tlsConfig()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: config}
	return admin.NewClient(address, token, &http.Client{Transport: transport}), nil
}

// token returns the bearer token, or "" if there is none.
func (t *target) token() (string, error) {
	if t.tokenFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(t.tokenFile)
	if err != nil {
		return "", errors.Wrap(err, "read token file")
	}
	return strings.TrimSpace(string(text)), nil
}

// tlsConfig returns the TLS configuration from -ca, -cert and -key-file.
func (t *target) tlsConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if t.caFile != "" {
		authorities, err := os.ReadFile(t.caFile)
		if err != nil {
			return nil, errors.Wrap(err, "read certificate authorities")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(authorities) {
			return nil, errors.Newf("%s contains no certificate", t.caFile)
		}
	}
	if t.certFile != "" {
		pair, err := tls.LoadX509KeyPair(t.certFile, t.keyFile)
		if err != nil {
			return nil, errors.Wrap(err, "load client certificate")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// fail prints an error and returns the exit code for failures.
func fail(stderr io.Writer, err error) int {
	fmt.Fprintf(stderr, "poplarctl: %v\n", err)
	return cli.ExitFailure
}
