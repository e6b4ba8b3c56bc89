package runner

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
)

// writeCertificate writes a self-signed certificate for the loopback address.
func writeCertificate(t *testing.T, folder string, serial int64) *parser.TLS {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "vm"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	files := &parser.TLS{Certificate: filepath.Join(folder, "cert"), Key: filepath.Join(folder, "key"), Authority: filepath.Join(folder, "cert")}
	is.NoErr(os.WriteFile(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	return files
}

// TestMutualTLS checks that the peering port accepts only clients with a certificate from the authority, and that
// renewed certificate files take effect without a restart.
func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	files := writeCertificate(t, t.TempDir(), 1)
	l, err := openListener(netip.MustParseAddrPort("127.0.0.1:0"), files)
	is.NoErr(err)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.WriteString(w, q.TLS.PeerCertificates[0].Subject.CommonName)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	url := "https://" + l.Addr().String()

	peerSerial := func() (int64, error) {
		config, err := clientTLSConfig(files)
		is.NoErr(err)
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
		defer client.CloseIdleConnections()
		r, err := client.Get(url)
		if err != nil {
			return 0, err
		}
		defer func() { _ = r.Body.Close() }()
		return r.TLS.PeerCertificates[0].SerialNumber.Int64(), nil
	}
	serial, err := peerSerial()
	is.NoErr(err)
	is.Equal(serial, int64(1))

	pool, err := readCertPool(files.Authority)
	is.NoErr(err)
	uncertified := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}
	if r, err := uncertified.Get(url); err == nil {
		_ = r.Body.Close()
		t.Error("a client without a certificate was accepted")
	}

	_, err = openListener(netip.MustParseAddrPort("127.0.0.1:0"), &parser.TLS{Certificate: "/none", Key: "/none"})
	is.True(err != nil)

	config := &parser.TLS{Certificate: files.Certificate, Key: files.Key}
	serverOnly, err := openListener(netip.MustParseAddrPort("127.0.0.1:0"), config)
	is.NoErr(err)
	t.Cleanup(func() { _ = serverOnly.Close() })
	go func() { _ = server.Serve(serverOnly) }()
	writeCertificate(t, filepath.Dir(files.Key), 2)
	c, err := tls.Dial("tcp", serverOnly.Addr().String(), &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS12})
	is.NoErr(err)
	is.Equal(c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), int64(2))
	is.NoErr(c.Close())
}
