package main

import (
	"crypto/tls"
	"crypto/x509"
	"flag"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/operator"
)

// defaultTimeout exceeds a host's own limit for a change (5 s), so that the host's
// response arrives before the timeout.
const defaultTimeout = 15 * time.Second

// connection contains the flags for calling a host and printing the result.
type connection struct {
	address string
	token   string
	caFile  string
	timeout time.Duration
	output  string
}

// registerFlags defines the flags of a connection in a command's flag set.
func (c *connection) registerFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.address, "address", "http://127.0.0.1:8081", "base URL of the host's operator API")
	flags.StringVar(&c.token, "token", "", "bearer token of the operator")
	flags.StringVar(&c.caFile, "ca-file", "", "PEM file of the CA certificates that verify the host (default: the system's)")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "timeout of one call")
	flags.StringVar(&c.output, "o", outputTable, "output format: table or json")
}

// environmentOptions lets environment variables set the flags that are not given.
func environmentOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix("REDWINGCTL")}
}

// checkOutput returns an error if the output format is not known.
func (c *connection) checkOutput() error {
	if c.output != outputTable && c.output != outputJSON {
		return eris.Wrapf(errUsage, "output %q is not table or json", c.output)
	}
	return nil
}

func (c *connection) client() (*operator.Client, error) {
	if err := c.checkOutput(); err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if c.caFile != "" {
		data, err := os.ReadFile(c.caFile)
		if err != nil {
			return nil, eris.Wrap(err, "read CA certificates")
		}
		authorities := x509.NewCertPool()
		if !authorities.AppendCertsFromPEM(data) {
			return nil, eris.Errorf("no CA certificate in %s", c.caFile)
		}
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: authorities}
	}
	client, err := operator.NewClient(c.address, c.token, &http.Client{Transport: transport, Timeout: c.timeout})
	if err != nil {
		return nil, eris.Wrap(errUsage, err.Error())
	}
	return client, nil
}
