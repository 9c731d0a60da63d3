package cmd

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"redwingloft/pkg/api"
	"redwingloft/pkg/client"
)

// callerFlags returns the flags that select the entry hosts and how to connect to them, and more.
func callerFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{Name: "host", Usage: "caller `address` of an entry host; may be repeated", Value: []string{"127.0.0.1:8080"}},
		&cli.BoolFlag{Name: "https", Usage: "connect to the caller listeners with TLS"},
		&cli.StringFlag{Name: "ca-file", Usage: "PEM `file` with the CA of their certificate; defaults to the CAs of the system"},
	}, more...)
}

// newCallerClient returns a client for the hosts given by the flags.
func newCallerClient(c *cli.Command) (*client.Client, error) {
	caller := &client.Client{DataCentre: api.DataCentre(c.String("data-centre"))}
	for _, address := range c.StringSlice("host") {
		caller.Hosts = append(caller.Hosts, api.Address(address))
	}
	if c.Bool("https") {
		caller.Scheme = "https"
	}
	if path := c.String("ca-file"); path != "" {
		tlsConfig, err := loadCA(path)
		if err != nil {
			return nil, err
		}
		caller.TLS = tlsConfig
	}
	return caller, nil
}

// loadCA returns a TLS configuration that trusts the CA certificates of a PEM file.
func loadCA(path string) (*tls.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the CA file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s contains no PEM certificate", path)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
