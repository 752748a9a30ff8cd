// Package tablesig signs tables and checks their signatures: a detached JWS (RFC 7515, appendix F) over the canonical form
// (RFC 8785) of {"exp","proxy","tables","tag"}, with the steward's X.509-SVID in x5c. So a proxy can tell whose a table is that
// came by a cache or out of a recording, whether it is its own, and whether it is still to be taken. It does no I/O and
// reads no clock.
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

// HeaderName is the header field that carries a signature: exp=SECONDS; jws=COMPACT, the second part of the JWS empty.
const HeaderName = "Table-Signature"

// algorithms that are taken.
var algorithms = []jose.SignatureAlgorithm{jose.ES256, jose.ES384, jose.RS256}

// Signer signs for one identity.
type Signer struct {
	signer jose.Signer
	until  time.Time
}

// NewSigner makes a signer of an identity's key and its chain, the leaf first.
func NewSigner(key crypto.Signer, chain []*x509.Certificate) (*Signer, error) {
	var alg jose.SignatureAlgorithm
	switch k := key.Public().(type) {
	case *ecdsa.PublicKey:
		switch k.Curve {
		case elliptic.P256():
			alg = jose.ES256
		case elliptic.P384():
			alg = jose.ES384
		}
	case *rsa.PublicKey:
		alg = jose.RS256
	}
	if alg == "" || len(chain) == 0 {
		return nil, fmt.Errorf("signing tables: a key of type %T with %d certificates does not do", key.Public(), len(chain))
	}
	var x5c []string
	for _, c := range chain {
		x5c = append(x5c, base64.StdEncoding.EncodeToString(c.Raw))
	}
	s, err := jose.NewSigner(jose.SigningKey{Algorithm: alg, Key: key}, (&jose.SignerOptions{}).WithHeader("x5c", x5c))
	if err != nil {
		return nil, fmt.Errorf("signing tables: %w", err)
	}
	return &Signer{s, chain[0].NotAfter}, nil
}

// Canonical gives the canonical form of a JSON value.
func Canonical(text []byte) ([]byte, error) { return jcs.Transform(text) }

// payload is what is signed: the members in the order of RFC 8785, around tables that are canonical already.
func payload(proxy, tag string, tables []byte, exp int64) ([]byte, error) {
	name, err := json.Marshal(proxy)
	if err == nil {
		name, err = jcs.Transform(name)
	}
	if err != nil {
		return nil, fmt.Errorf("writing a proxy's name: %w", err)
	}
	quoted, err := json.Marshal(tag)
	if err == nil {
		quoted, err = jcs.Transform(quoted)
	}
	if err != nil {
		return nil, fmt.Errorf("writing a tag: %w", err)
	}
	out := make([]byte, 0, len(tables)+len(name)+len(quoted)+64)
	out = strconv.AppendInt(append(out, `{"exp":`...), exp, 10)
	out = append(append(out, `,"proxy":`...), name...)
	out = append(append(out, `,"tables":`...), tables...)
	return append(append(append(out, `,"tag":`...), quoted...), '}'), nil
}

// Sign signs a proxy's tables in their canonical form under a tag, to be taken until a time, but not past the identity's.
func (s *Signer) Sign(proxy, tag string, tables []byte, until time.Time) (field string, err error) {
	if s.until.Before(until) {
		until = s.until
	}
	exp := until.Unix()
	text, err := payload(proxy, tag, tables, exp)
	if err != nil {
		return "", err
	}
	j, err := s.signer.Sign(text)
	if err != nil {
		return "", fmt.Errorf("signing tables: %w", err)
	}
	compact, err := j.DetachedCompactSerialize()
	if err != nil {
		return "", fmt.Errorf("signing tables: %w", err)
	}
	return "exp=" + strconv.FormatInt(exp, 10) + "; jws=" + compact, nil
}

// ErrUnsigned says that a table has no signature.
var ErrUnsigned = errors.New("the table is not signed")

// Verify tells what is wrong with a proxy's whole document under a tag, if anything. judge verifies the signer's chain and
// tells whether he is one's own steward.
func Verify(field, proxy, tag string, doc []byte, now time.Time, judge func(chain []*x509.Certificate) error) error {
	if field == "" {
		return ErrUnsigned
	}
	expText, compact, ok := strings.Cut(strings.TrimPrefix(field, "exp="), "; jws=")
	exp, err := strconv.ParseInt(expText, 10, 64)
	if !ok || err != nil {
		return fmt.Errorf("the signature %.40q cannot be read", field)
	}
	if now.Unix() >= exp {
		return fmt.Errorf("the table was to be taken until %s", time.Unix(exp, 0).UTC().Format(time.RFC3339))
	}
	var d struct {
		Proxy  string          `json:"proxy"`
		Tables json.RawMessage `json:"tables"`
	}
	if err := json.Unmarshal(doc, &d); err != nil {
		return fmt.Errorf("reading the signed table: %w", err)
	}
	if d.Proxy != proxy {
		return fmt.Errorf("the table is of %q, not of %q", d.Proxy, proxy)
	}
	tables, err := Canonical(d.Tables)
	if err != nil {
		return fmt.Errorf("reading the signed table: %w", err)
	}
	text, err := payload(proxy, tag, tables, exp)
	if err != nil {
		return err
	}
	j, err := jose.ParseDetached(compact, text, algorithms)
	if err != nil {
		return fmt.Errorf("reading the signature: %w", err)
	}
	chain, err := chainOf(j)
	if err != nil {
		return err
	}
	if err := judge(chain); err != nil {
		return fmt.Errorf("judging who signed the table: %w", err)
	}
	if _, err := j.Verify(chain[0].PublicKey); err != nil {
		return fmt.Errorf("the signature does not fit the table: %w", err)
	}
	return nil
}

// mostChain bounds the certificates of a signature.
const mostChain = 8

// chainOf reads x5c. It is judged by the roots of whoever checks, not by itself.
func chainOf(j *jose.JSONWebSignature) ([]*x509.Certificate, error) {
	if len(j.Signatures) != 1 {
		return nil, fmt.Errorf("%d signatures, one is needed", len(j.Signatures))
	}
	compact, err := j.DetachedCompactSerialize()
	if err != nil {
		return nil, fmt.Errorf("reading a signature's header: %w", err)
	}
	first, _, _ := strings.Cut(compact, ".")
	text, err := base64.RawURLEncoding.DecodeString(first)
	if err != nil {
		return nil, fmt.Errorf("reading a signature's header: %w", err)
	}
	var h struct {
		X5C []string `json:"x5c"`
	}
	if err := json.Unmarshal(text, &h); err != nil {
		return nil, fmt.Errorf("reading a signature's header: %w", err)
	}
	return parse(h.X5C)
}

func parse(raw []string) (chain []*x509.Certificate, err error) {
	if len(raw) == 0 || len(raw) > mostChain {
		return nil, fmt.Errorf("%d certificates in a signature", len(raw))
	}
	for _, text := range raw {
		der, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return nil, fmt.Errorf("reading a signature's certificate: %w", err)
		}
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("reading a signature's certificate: %w", err)
		}
		chain = append(chain, c)
	}
	return chain, nil
}

// Newer tells whether a tag names a later version than another, where both are of one life; of different lives neither is.
func Newer(tag, than string) (newer, sameLife bool) {
	life := func(t string) (string, int64) {
		i := strings.LastIndexByte(t, '-')
		n, err := strconv.ParseInt(t[i+1:], 10, 64)
		if i < 0 || err != nil {
			return t, math.MinInt64
		}
		return t[:i], n
	}
	a, n := life(tag)
	b, m := life(than)
	return a == b && n > m, a == b
}
