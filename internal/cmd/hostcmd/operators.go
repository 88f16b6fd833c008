package hostcmd

import (
	"flag"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/admin"
	"github.com/poplarcroft/poplarcroft/internal/host"
)

// devOperator is everybody who reaches the development system's administration.
var devOperator = admin.Everybody{Name: "dev", Role: admin.RoleOperator}

// operatorFlags are the flags about who may use the administration.
type operatorFlags struct {
	principals string
	cert       string
	key        string
	clientCA   string
}

func addOperatorFlags(flags *flag.FlagSet) *operatorFlags {
	var o operatorFlags
	flags.StringVar(&o.principals, "operators", "", "`file` with the operators' tokens and roles; without it everybody may read and nobody change anything")
	flags.StringVar(&o.cert, "admin-cert", "", "`file` with the administration's certificate, for TLS")
	flags.StringVar(&o.key, "admin-key", "", "`file` with the certificate's key")
	flags.StringVar(&o.clientCA, "admin-client-ca", "", "`file` with the authorities that sign operators' certificates")
	return &o
}

// apply loads the files and sets the administration's part of the configuration.
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
			return errors.New("-admin-key and -admin-client-ca want -admin-cert")
		}
		return nil
	}
	var err error
	config.AdminTLS, err = admin.ServerTLS(o.cert, o.key, o.clientCA)
	return err
}
