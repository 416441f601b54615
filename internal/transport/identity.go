package transport

import (
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/model"
)

// alpnProtocol is the ALPN name of the protocol between instances.
const alpnProtocol = "pollenbend/1"

// Identity holds the credentials of an instance in PEM: the certificate of the
// authority that signs the certificates of all instances, the instance's own
// certificate, whose DNS name is the instance id, and its private key.
type Identity struct {
	CAPEM   []byte
	CertPEM []byte
	KeyPEM  []byte
}

// tlsConfigs returns the TLS configurations for accepting and for dialling.
func (id Identity) tlsConfigs() (server, client *tls.Config, err error) {
	cert, err := tls.X509KeyPair(id.CertPEM, id.KeyPEM)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load instance certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(id.CAPEM) {
		return nil, nil, errors.New("the authority's PEM contains no certificate")
	}
	server = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		NextProtos:   []string{alpnProtocol},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	}
	client = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		NextProtos:   []string{alpnProtocol},
		RootCAs:      pool,
	}
	return server, client, nil
}

// issuedTo reports whether the verified peer certificate was issued to id.
func issuedTo(state tls.ConnectionState, id model.InstanceID) bool {
	if len(state.PeerCertificates) == 0 {
		return false
	}
	return slices.Contains(state.PeerCertificates[0].DNSNames, string(id))
}

// DevCA is an in-memory certificate authority for development and tests. Every
// DevCA created from the same seed issues the same certificates.
type DevCA struct {
	seed []byte
	key  ed25519.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

// The validity of development certificates.
var (
	devNotBefore = time.Date(2020, time.January, 1, 0, 0, 0, 0, time.UTC)
	devNotAfter  = time.Date(2120, time.January, 1, 0, 0, 0, 0, time.UTC)
)

// NewDevCA reads a seed of 32 bytes and derives an authority from it. It returns an
// error when the seed is shorter.
func NewDevCA(seed io.Reader) (*DevCA, error) {
	buf := make([]byte, ed25519.SeedSize)
	if _, err := io.ReadFull(seed, buf); err != nil {
		return nil, errors.Wrap(err, "read seed")
	}
	key := ed25519.NewKeyFromSeed(buf)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "pollenbend development authority"},
		NotBefore:             devNotBefore,
		NotAfter:              devNotAfter,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(nil, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority certificate")
	}
	return &DevCA{seed: buf, key: key, cert: cert, pem: encodePEM("CERTIFICATE", der)}, nil
}

// Issue returns the identity of one instance. The key is derived from the
// authority's seed and the id.
func (ca *DevCA) Issue(id model.InstanceID) (Identity, error) {
	seed := sha256.Sum256(append(slices.Clone(ca.seed), id...))
	key := ed25519.NewKeyFromSeed(seed[:])
	serial := sha256.Sum256(key.Public().(ed25519.PublicKey))
	template := &x509.Certificate{
		SerialNumber: new(big.Int).SetBytes(serial[:16]),
		Subject:      pkix.Name{CommonName: string(id)},
		DNSNames:     []string{string(id)},
		NotBefore:    devNotBefore,
		NotAfter:     devNotAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(nil, template, ca.cert, key.Public(), ca.key)
	if err != nil {
		return Identity{}, errors.Wrapf(err, "sign certificate of %s", id)
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Identity{}, errors.Wrap(err, "encode private key")
	}
	return Identity{CAPEM: ca.pem, CertPEM: encodePEM("CERTIFICATE", der), KeyPEM: encodePEM("PRIVATE KEY", pkcs8)}, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
