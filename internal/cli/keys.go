package cli

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
)

const (
	testKeyValidity = 365 * 24 * time.Hour
	// clockTolerance is how far certificates' validity begins in the past, for
	// machines whose clocks are slow.
	clockTolerance  = time.Hour
	ticketKeyBytes  = 32
	adminKeyBytes   = 32
	serialBits      = 120
	privateFileMode = 0o600
	directoryMode   = 0o700
)

func newKeys() *cobra.Command {
	return &cobra.Command{
		Use:   "keys DIR",
		Short: "Make the keys of a test fleet",
		Long: `Make the keys of a test fleet: authority.pem and authority-key.pem,
certificate.pem and key.pem for all processes, ticket.keys and admin.key. The
certificates are valid for a year. Existing files are never replaced.`,
		Example: "  coltsfootbay keys ./keys",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			return makeKeys(arguments[0], time.Now())
		},
	}
}

// keyFileContent is a file that the command keys creates.
type keyFileContent struct {
	name string
	data []byte
}

func makeKeys(directory string, now time.Time) error {
	files, err := newKeyFiles(now)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return err
	}
	for _, f := range files {
		if _, err := os.Lstat(filepath.Join(directory, f.name)); !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("%s exists already; no key was made", filepath.Join(directory, f.name))
		}
	}
	for _, f := range files {
		if err := writeNew(filepath.Join(directory, f.name), f.data); err != nil {
			return err
		}
	}
	return nil
}

func writeNew(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateFileMode)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Close())
}

func newKeyFiles(now time.Time) ([]keyFileContent, error) {
	authority := certificateTemplate("coltsfootbay test authority", now)
	authority.IsCA, authority.BasicConstraintsValid = true, true
	authority.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	process := certificateTemplate("coltsfootbay test process", now)
	process.KeyUsage = x509.KeyUsageDigitalSignature
	process.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	processKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	first, err := pemPair("authority.pem", "authority-key.pem", authority, authorityKey, authority, authorityKey)
	if err != nil {
		return nil, err
	}
	second, err := pemPair("certificate.pem", "key.pem", process, processKey, authority, authorityKey)
	if err != nil {
		return nil, err
	}
	files := append(first, second...)
	files = append(files, keyFileContent{"ticket.keys", []byte("1 " + randomHex(ticketKeyBytes) + "\n")})
	return append(files, keyFileContent{"admin.key", []byte(randomHex(adminKeyBytes) + "\n")}), nil
}

func certificateTemplate(name string, now time.Time) *x509.Certificate {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	// rand.Int fails only if its reader does, and crypto/rand never does.
	serial, _ := rand.Int(rand.Reader, limit)
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(testKeyValidity),
	}
}

// pemPair returns the files of a certificate, signed by the parent, and of its
// private key.
func pemPair(certificateFile, keyFile string, template *x509.Certificate, key *ecdsa.PrivateKey, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) ([]keyFileContent, error) {
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return nil, err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	return []keyFileContent{
		{certificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate})},
		{keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})},
	}, nil
}

// randomHex returns random bytes in hexadecimal. crypto/rand.Read never fails.
func randomHex(bytes int) string {
	b := make([]byte, bytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
