package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// TLSFiles are the names of the PEM files for mutual TLS between hosts.
type TLSFiles struct {
	Certificate string
	Key         string
	// Authority holds the CA certificate that signs every host's certificate.
	Authority string
}

// Identity is a host's certificate and the certificate authority it trusts;
// Reload reads them again when a file has changed. Both ends of a connection
// must present a certificate signed by the authority. The host name in it is not
// verified, since hosts connect by IP address and may be replaced at any time.
//
// If a file can't be read or does not match the others, the previous identity
// stays in use, so that a half-written renewal breaks no connections.
type Identity struct {
	files TLSFiles

	mu sync.Mutex
	// certificate and roots come from the same reading of the files, and are
	// never nil after LoadIdentity.
	certificate *tls.Certificate
	roots       *x509.CertPool
	modTime     time.Time
}

// LoadIdentity returns the identity in the files.
func LoadIdentity(files TLSFiles) (*Identity, error) {
	i := &Identity{files: files}
	if err := i.Reload(); err != nil {
		return nil, trace.Wrap(err)
	}
	return i, nil
}

// Reload reads the files again if one has changed since the last reading.
func (i *Identity) Reload() error {
	modTime, err := i.lastModTime()
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if modTime.Equal(i.modTime) {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return trace.Wrap(err, "load certificate and key")
	}
	authority, err := os.ReadFile(i.files.Authority)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return trace.BadParameter("authority file %q contains no PEM certificate", i.files.Authority)
	}
	i.certificate, i.roots, i.modTime = &certificate, roots, modTime
	return nil
}

// lastModTime returns the latest modification time of the files.
func (i *Identity) lastModTime() (time.Time, error) {
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
	return i.certificate, i.roots
}

// Config returns the TLS configuration for both ends of connections between
// hosts. It replaces the standard verification by verify, because the standard
// one would keep using the authority from when the configuration was created.
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

// verify checks that the current authority signed the peer's certificate.
func (i *Identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("peer presented no certificate")
	}
	_, roots := i.current()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return trace.Wrap(err)
}
