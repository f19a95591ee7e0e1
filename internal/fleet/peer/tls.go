package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// TLSFiles are the PEM files of a host's identity between hosts.
type TLSFiles struct {
	Certificate string
	Key         string
	// Authority is the certificate that signs every host's certificate.
	Authority string
}

// Identity is a host's certificate and the authority it trusts, read again
// when a file changes. Both sides of a connection prove that the authority
// signed their certificate; a host's address is not checked against it, since
// hosts talk by IP number and are replaced at any time.
//
// A file that can't be read or does not fit the others leaves the former
// identity in use, so that a half-written renewal cuts nothing.
type Identity struct {
	files TLSFiles

	mu sync.Mutex
	// certificate and pool are from one reading of all files; never nil.
	certificate *tls.Certificate
	pool        *x509.CertPool
	changed     time.Time
}

// LoadIdentity reads the files.
func LoadIdentity(files TLSFiles) (*Identity, error) {
	i := &Identity{files: files}
	if err := i.Reload(); err != nil {
		return nil, trace.Wrap(err)
	}
	return i, nil
}

// Reload reads the files if one changed since the last reading.
func (i *Identity) Reload() error {
	changed, err := i.lastChange()
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if changed.Equal(i.changed) {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return trace.Wrap(err, "certificate and key")
	}
	authority, err := os.ReadFile(i.files.Authority)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return trace.BadParameter("%s holds no certificate", i.files.Authority)
	}
	i.certificate, i.pool, i.changed = &certificate, pool, changed
	return nil
}

// lastChange returns the latest modification time of the files.
func (i *Identity) lastChange() (time.Time, error) {
	var last time.Time
	for _, name := range []string{i.files.Certificate, i.files.Key, i.files.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return time.Time{}, trace.ConvertSystemError(err)
		}
		if info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last, nil
}

func (i *Identity) current() (*tls.Certificate, *x509.CertPool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.certificate, i.pool
}

// Config returns the configuration for both ends of connections between hosts.
// The usual verification is replaced by verify, because it would keep the
// authority as it was when the configuration was made.
func (i *Identity) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := i.current()
			return certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := i.current()
			return certificate, nil
		},
		InsecureSkipVerify: true,
		VerifyConnection:   i.verify,
	}
}

// verify checks that the authority signed the other end's certificate.
func (i *Identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("peer has no certificate")
	}
	_, pool := i.current()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return trace.Wrap(err)
}
