package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/standin/site"
)

// writeCertificate writes a certificate for the loopback address and its key in PEM
// format.
func writeCertificate(t *testing.T) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	signed, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	assert.NilError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	assert.NilError(t, err)
	folder := t.TempDir()
	cert, key = filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem")
	assert.NilError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: signed}), 0o600))
	assert.NilError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), 0o600))
	return cert, key
}

// TestCallersOverTLS guards against a caller listener that does not use its certificate,
// and against client subcommands that can't connect to it or that trust any certificate.
func TestCallersOverTLS(t *testing.T) {
	cert, key := writeCertificate(t)
	s := startSite(t, "greenhand", site.Options{Hosts: 1, Settings: map[string][]string{
		"caller": {"tls_cert_file = " + cert, "tls_key_file = " + key},
	}})
	host := s.Hosts[0].CallerAddress
	out, ok := runCommand(t, "hosts", "--host", host, "--https", "--ca-file", cert)
	assert.Assert(t, ok && strings.Contains(out, host), out)
	args := []string{"call", "--host", host, "--workspace", "arima", "--token", token("arima"), "--deadline", "3s"}
	out, ok = runCommand(t, append(args, "--https", "--ca-file", cert, "care-note", "x")...)
	assert.Assert(t, ok, out)
	out, ok = runCommand(t, append(args, "--https", "care-note", "x")...)
	assert.Assert(t, !ok && strings.Contains(out, "certificate"), out)
}
