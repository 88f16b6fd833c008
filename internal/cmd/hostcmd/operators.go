package hostcmd

import (
	"flag"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/admin"
	"github.com/poplarcroft/poplarcroft/internal/host"
)

// devOperator is the identity of every user of the development system's administration API.
var devOperator = admin.AllowAll{Name: "dev", Role: admin.RoleOperator}

// operatorFlags are the flags that say who may use the administration API.
type operatorFlags struct {
	principals string
	cert       string
	key        string
	clientCA   string
}

// addOperatorFlags adds the flags to a flag set.
func addOperatorFlags(flags *flag.FlagSet) *operatorFlags {
	var o operatorFlags
	flags.StringVar(&o.principals, "operators", "", "`file` with the operators' tokens and roles; without it everybody may read and nobody may change anything")
	flags.StringVar(&o.cert, "admin-cert", "", "`file` with the certificate of the administration API, for TLS")
	flags.StringVar(&o.key, "admin-key", "", "`file` with the certificate's key")
	flags.StringVar(&o.clientCA, "admin-client-ca", "", "`file` with the certificate authorities that sign operators' certificates")
	return &o
}

// apply loads the files and sets the configuration of the administration API.
func (o *operatorFlags) apply(config *host.Config) error {
	if o.principals != "" {
		directory, err := admin.LoadDirectory(o.principals)
		if err != nil {
			return err
		}
		config.Operators = directory
	}
	if o.cert == "" {
		if o.key != "" || o.clientCA != "" {
			return errors.New("-admin-key and -admin-client-ca require -admin-cert")
		}
		return nil
	}
	var err error
	config.AdminTLS, err = admin.ServerTLS(o.cert, o.key, o.clientCA)
	return err
}
