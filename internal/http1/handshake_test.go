package http1

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"testing"
	"time"
)

// trustedPeer is a peer whose credentials do not expire during a test.
type trustedPeer struct{}

func (trustedPeer) Verify() error     { return nil }
func (trustedPeer) Expiry() time.Time { return time.Now().Add(time.Hour) }

// newServerTLS returns the TLS options of a server with a new certificate that processes few handshakes at once.
func newServerTLS(t *testing.T) *TLSOptions {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	return &TLSOptions{
		Config: &tls.Config{
			Certificates: []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: key}},
			MinVersion:   tls.VersionTLS13,
		},
		Authenticate:     func(tls.ConnectionState) (Peer, error) { return trustedPeer{}, nil },
		MaxHandshakes:    2,
		HandshakeTimeout: testTimeout,
	}
}

// clientHello returns the first message of a client's handshake.
func clientHello(t *testing.T) []byte {
	t.Helper()
	client, server := net.Pipe()
	defer client.Close()
	go tls.Client(client, &tls.Config{InsecureSkipVerify: true}).Handshake()
	hello := make([]byte, 4096)
	n, err := server.Read(hello)
	if err != nil {
		t.Fatal(err)
	}
	server.Close()
	return hello[:n]
}

// Guards against clients that keep all others out: they stop before or within the TLS handshake.
func TestPromptHandshakeBesideStoppedOnes(t *testing.T) {
	hello := clientHello(t)
	for name, sent := range map[string][]byte{"silent": nil, "half a hello": hello[:len(hello)/2], "hello": hello} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, Config{TLS: newServerTLS(t)})
			for range 20 {
				conn := dial(t, server.addr)
				defer conn.Close()
				conn.Write(sent)
			}
			waitFor(t, "all connections are accepted", func() bool { return server.OpenConnections() == 20 })
			began := time.Now()
			conn := tls.Client(dial(t, server.addr), &tls.Config{InsecureSkipVerify: true})
			defer conn.Close()
			expectReplySince(t, conn, began)
		})
	}
}

// A handshake that stops ends after the timeout.
func TestStoppedHandshakeEnds(t *testing.T) {
	options := newServerTLS(t)
	options.HandshakeTimeout = 20 * time.Millisecond
	server := startServer(t, Config{TLS: options})
	conn := dial(t, server.addr)
	defer conn.Close()
	conn.Write(clientHello(t))
	conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("reading: %v, want the connection closed", err)
	}
	waitFor(t, "the connection ends", func() bool { return server.OpenConnections() == 0 })
}
