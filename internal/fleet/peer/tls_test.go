package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/peer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// authority signs the certificates of test hosts.
type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newAuthority(name string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return &authority{key: key, certificate: certificate}
}

// issue writes a new host certificate, its key and the authority's certificate
// into dir.
func (a *authority) issue(dir string) peer.TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "entry host"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	files := peer.TLSFiles{
		Certificate: filepath.Join(dir, "host.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "authority.pem"),
	}
	writePEM(files.Certificate, "CERTIFICATE", der)
	writePEM(files.Key, "EC PRIVATE KEY", keyDER)
	writePEM(files.Authority, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(name, kind string, der []byte) {
	Expect(os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

type heartbeatServer struct{ wire.UnimplementedPeerServer }

func (heartbeatServer) Beat(context.Context, *wire.Heartbeat) (*wire.Heartbeat, error) {
	return &wire.Heartbeat{Host: "answer"}, nil
}

// serve runs a peer server with a TLS configuration and returns its address.
func serve(config *tls.Config) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := peer.NewServer(config)
	wire.RegisterPeerServer(server, heartbeatServer{})
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Stop)
	return listener.Addr().String()
}

func sendHeartbeat(ctx context.Context, config *tls.Config, address string) error {
	pool := peer.NewPool(config)
	defer pool.Close()
	client, err := pool.Client(address, request.Online)
	Expect(err).NotTo(HaveOccurred())
	_, err = client.Beat(ctx, &wire.Heartbeat{})
	return err
}

var _ = Describe("connections between hosts", func() {
	It("open only between hosts with certificates of the same authority", func(ctx SpecContext) {
		ours, theirs := newAuthority("ours"), newAuthority("theirs")
		server, err := peer.LoadIdentity(ours.issue(GinkgoT().TempDir()))
		Expect(err).NotTo(HaveOccurred())
		sameAuthority, err := peer.LoadIdentity(ours.issue(GinkgoT().TempDir()))
		Expect(err).NotTo(HaveOccurred())
		otherAuthority, err := peer.LoadIdentity(theirs.issue(GinkgoT().TempDir()))
		Expect(err).NotTo(HaveOccurred())
		address := serve(server.Config())
		Expect(sendHeartbeat(ctx, sameAuthority.Config(), address)).To(Succeed())
		Expect(sendHeartbeat(ctx, otherAuthority.Config(), address)).NotTo(Succeed())
		Expect(sendHeartbeat(ctx, nil, address)).NotTo(Succeed())
	})

	It("use renewed files, and keep the old identity while a file is broken", func(ctx SpecContext) {
		before, after := newAuthority("before"), newAuthority("after")
		dir := GinkgoT().TempDir()
		files := before.issue(dir)
		server, err := peer.LoadIdentity(files)
		Expect(err).NotTo(HaveOccurred())
		address := serve(server.Config())
		notRenewed, err := peer.LoadIdentity(before.issue(GinkgoT().TempDir()))
		Expect(err).NotTo(HaveOccurred())
		renewed, err := peer.LoadIdentity(after.issue(GinkgoT().TempDir()))
		Expect(err).NotTo(HaveOccurred())

		Expect(os.WriteFile(files.Certificate, []byte("half"), 0o600)).To(Succeed())
		Expect(os.Chtimes(files.Certificate, time.Time{}, time.Now().Add(time.Minute))).To(Succeed())
		Expect(server.Reload()).NotTo(Succeed())
		Expect(sendHeartbeat(ctx, notRenewed.Config(), address)).To(Succeed())

		after.issue(dir)
		Expect(os.Chtimes(files.Key, time.Time{}, time.Now().Add(2*time.Minute))).To(Succeed())
		Expect(server.Reload()).To(Succeed())
		Expect(sendHeartbeat(ctx, renewed.Config(), address)).To(Succeed())
		Expect(sendHeartbeat(ctx, notRenewed.Config(), address)).NotTo(Succeed())
	})
})
