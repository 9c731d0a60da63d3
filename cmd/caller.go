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

// callerFlags name an entry host and how to reach it.
func callerFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{Name: "host", Usage: "caller `address` of an entry host; may be repeated", Value: []string{"127.0.0.1:8080"}},
		&cli.BoolFlag{Name: "https", Usage: "the caller listeners have a certificate"},
		&cli.StringFlag{Name: "ca-file", Usage: "PEM `file` of the authority that signed it; empty means those of the system"},
	}, more...)
}

// newCallerClient returns a client of the hosts that the flags name.
func newCallerClient(c *cli.Command) (*client.Client, error) {
	caller := &client.Client{DataCentre: api.DataCentre(c.String("data-centre"))}
	for _, address := range c.StringSlice("host") {
		caller.Hosts = append(caller.Hosts, api.Address(address))
	}
	if c.Bool("https") {
		caller.Scheme = "https"
	}
	if path := c.String("ca-file"); path != "" {
		trusted, err := loadCA(path)
		if err != nil {
			return nil, err
		}
		caller.TLS = trusted
	}
	return caller, nil
}

// loadCA returns a configuration that trusts the authorities of a PEM file.
func loadCA(path string) (*tls.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("the CA file can't be read: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s holds no PEM certificate", path)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
