// Package tablesig signs routing tables and verifies their signatures. A signature is a detached JWS (RFC 7515,
// appendix F) of the canonical JSON form (RFC 8785) of {"exp","proxy","tables","tag"}, with the controller's X.509-SVID
// in x5c. With it a proxy can verify who made tables that come from a cache or a recording, that they are its own, and
// that they have not expired. The package does no I/O and reads no clock.
package tablesig

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rsa"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/gowebpki/jcs"
)

// HeaderName is the name of the header field with a signature. Its value is exp=SECONDS; jws=JWS: the Unix time at
// which the signature expires, and the JWS in compact serialization without its payload.
const HeaderName = "Table-Signature"

// algorithms are the signature algorithms that are accepted.
var algorithms = []jose.SignatureAlgorithm{jose.ES256, jose.ES384, jose.RS256}

// maxChainLength is the largest number of certificates in a signature.
const maxChainLength = 8

// Signer signs routing tables with the key of an X.509-SVID.
type Signer struct {
	signer jose.Signer
	expiry time.Time // of the X.509-SVID
}

// NewSigner returns a signer with the key and the certificate chain of an X.509-SVID, the leaf first.
func NewSigner(key crypto.Signer, chain []*x509.Certificate) (*Signer, error) {
	var alg jose.SignatureAlgorithm
	switch publicKey := key.Public().(type) {
	case *ecdsa.PublicKey:
		switch publicKey.Curve {
		case elliptic.P256():
			alg = jose.ES256
		case elliptic.P384():
			alg = jose.ES384
		}
	case *rsa.PublicKey:
		alg = jose.RS256
	}
	if alg == "" || len(chain) == 0 {
		return nil, fmt.Errorf(
			"signing tables: a key of type %T with %d certificates does not do", key.Public(), len(chain))
	}
	var x5c []string
	for _, certificate := range chain {
		x5c = append(x5c, base64.StdEncoding.EncodeToString(certificate.Raw))
	}
	options := (&jose.SignerOptions{}).WithHeader("x5c", x5c)
	signer, err := jose.NewSigner(jose.SigningKey{Algorithm: alg, Key: key}, options)
	if err != nil {
		return nil, fmt.Errorf("signing tables: %w", err)
	}
	return &Signer{signer, chain[0].NotAfter}, nil
}

// Canonical returns the canonical form of a JSON value (RFC 8785).
func Canonical(value []byte) ([]byte, error) { return jcs.Transform(value) }

// payload returns the signed payload in canonical form, with the members in order. tables is in canonical form already.
func payload(proxy, tag string, tables []byte, exp int64) ([]byte, error) {
	proxyJSON, err := json.Marshal(proxy)
	if err == nil {
		proxyJSON, err = jcs.Transform(proxyJSON)
	}
	if err != nil {
		return nil, fmt.Errorf("writing a proxy's name: %w", err)
	}
	tagJSON, err := json.Marshal(tag)
	if err == nil {
		tagJSON, err = jcs.Transform(tagJSON)
	}
	if err != nil {
		return nil, fmt.Errorf("writing a tag: %w", err)
	}
	out := make([]byte, 0, len(tables)+len(proxyJSON)+len(tagJSON)+64)
	out = strconv.AppendInt(append(out, `{"exp":`...), exp, 10)
	out = append(append(out, `,"proxy":`...), proxyJSON...)
	out = append(append(out, `,"tables":`...), tables...)
	return append(append(append(out, `,"tag":`...), tagJSON...), '}'), nil
}

// Sign signs the tables of a proxy, in canonical form, and their tag. It returns the value of the header field. The
// signature expires at the given time, or when the signer's X.509-SVID expires if that is earlier.
func (s *Signer) Sign(proxy, tag string, tables []byte, expiry time.Time) (value string, err error) {
	if s.expiry.Before(expiry) {
		expiry = s.expiry
	}
	exp := expiry.Unix()
	signed, err := payload(proxy, tag, tables, exp)
	if err != nil {
		return "", err
	}
	jws, err := s.signer.Sign(signed)
	if err != nil {
		return "", fmt.Errorf("signing tables: %w", err)
	}
	compact, err := jws.DetachedCompactSerialize()
	if err != nil {
		return "", fmt.Errorf("signing tables: %w", err)
	}
	return "exp=" + strconv.FormatInt(exp, 10) + "; jws=" + compact, nil
}

// ErrUnsigned is the error of tables without a signature.
var ErrUnsigned = errors.New("the tables are not signed")

// Verify returns an error unless the header field value holds a signature, not expired at now, of the proxy's document
// with the given tag. verifySigner verifies the signer's certificate chain and that it is the proxy's controller.
func Verify(
	value, proxy, tag string, document []byte, now time.Time, verifySigner func(chain []*x509.Certificate) error,
) error {
	if value == "" {
		return ErrUnsigned
	}
	expText, compact, ok := strings.Cut(strings.TrimPrefix(value, "exp="), "; jws=")
	exp, err := strconv.ParseInt(expText, 10, 64)
	if !ok || err != nil {
		return fmt.Errorf("malformed table signature %.40q", value)
	}
	if now.Unix() >= exp {
		return fmt.Errorf("the table signature expired at %s", time.Unix(exp, 0).UTC().Format(time.RFC3339))
	}
	var parsed struct {
		Proxy  string          `json:"proxy"`
		Tables json.RawMessage `json:"tables"`
	}
	if err := json.Unmarshal(document, &parsed); err != nil {
		return fmt.Errorf("reading the signed tables: %w", err)
	}
	if parsed.Proxy != proxy {
		return fmt.Errorf("the signed tables are for proxy %q, not for %q", parsed.Proxy, proxy)
	}
	tables, err := Canonical(parsed.Tables)
	if err != nil {
		return fmt.Errorf("reading the signed tables: %w", err)
	}
	signed, err := payload(proxy, tag, tables, exp)
	if err != nil {
		return err
	}
	jws, err := jose.ParseDetached(compact, signed, algorithms)
	if err != nil {
		return fmt.Errorf("reading the table signature: %w", err)
	}
	chain, err := certificateChain(jws)
	if err != nil {
		return err
	}
	if err := verifySigner(chain); err != nil {
		return fmt.Errorf("verifying the signer of the tables: %w", err)
	}
	if _, err := jws.Verify(chain[0].PublicKey); err != nil {
		return fmt.Errorf("the signature does not match the tables: %w", err)
	}
	return nil
}

// certificateChain returns the certificates in the header x5c of a JWS. It does not verify them: the
// caller does, by its own roots.
func certificateChain(jws *jose.JSONWebSignature) ([]*x509.Certificate, error) {
	if len(jws.Signatures) != 1 {
		return nil, fmt.Errorf("the table signature has %d JWS signatures, want 1", len(jws.Signatures))
	}
	compact, err := jws.DetachedCompactSerialize()
	if err != nil {
		return nil, fmt.Errorf("reading the table signature's header: %w", err)
	}
	encodedHeader, _, _ := strings.Cut(compact, ".")
	headerJSON, err := base64.RawURLEncoding.DecodeString(encodedHeader)
	if err != nil {
		return nil, fmt.Errorf("reading the table signature's header: %w", err)
	}
	var header struct {
		X5C []string `json:"x5c"`
	}
	if err := json.Unmarshal(headerJSON, &header); err != nil {
		return nil, fmt.Errorf("reading the table signature's header: %w", err)
	}
	return parseCertificates(header.X5C)
}

// parseCertificates parses certificates in the encoding of x5c: base64 of DER.
func parseCertificates(encoded []string) (chain []*x509.Certificate, err error) {
	if len(encoded) == 0 || len(encoded) > maxChainLength {
		return nil, fmt.Errorf("the table signature has %d certificates, want 1 to %d", len(encoded), maxChainLength)
	}
	for _, text := range encoded {
		der, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return nil, fmt.Errorf("reading the table signature's certificate: %w", err)
		}
		certificate, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("reading the table signature's certificate: %w", err)
		}
		chain = append(chain, certificate)
	}
	return chain, nil
}

// Newer reports whether a tag names a later version of the tables than another. A tag is the controller's incarnation
// and a version, joined by a hyphen; newer is false for tags of different incarnations.
func Newer(tag, other string) (newer, sameIncarnation bool) {
	incarnation, version := splitTag(tag)
	otherIncarnation, otherVersion := splitTag(other)
	sameIncarnation = incarnation == otherIncarnation
	return sameIncarnation && version > otherVersion, sameIncarnation
}

// splitTag splits a tag. A tag without a version is an incarnation of its own.
func splitTag(tag string) (incarnation string, version int64) {
	hyphen := strings.LastIndexByte(tag, '-')
	version, err := strconv.ParseInt(tag[hyphen+1:], 10, 64)
	if hyphen < 0 || err != nil {
		return tag, math.MinInt64
	}
	return tag[:hyphen], version
}
