package tablesig

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"strings"
	"testing"
	"time"
)

// certificateExpiry is the expiry of the test signers' certificates.
var certificateExpiry = time.Unix(2000, 0)

// newSigner returns a signer with a new key and its self-signed certificate.
func newSigner(t testing.TB, curve elliptic.Curve) (*Signer, *x509.Certificate) {
	t.Helper()
	key, err := ecdsa.GenerateKey(curve, rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "controller"}, NotAfter: certificateExpiry,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	signer, err := NewSigner(key, []*x509.Certificate{certificate})
	if err != nil {
		t.Fatal(err)
	}
	return signer, certificate
}

var errOtherSigner = errors.New("signed by another signer")

// expectSigner returns a function that accepts only chains of the given certificate.
func expectSigner(want *x509.Certificate) func([]*x509.Certificate) error {
	return func(chain []*x509.Certificate) error {
		if !chain[0].Equal(want) {
			return errOtherSigner
		}
		return nil
	}
}

func acceptAnySigner([]*x509.Certificate) error { return nil }

const (
	testDocument = `{"proxy":"p","tables":{"sheet":{"tries":1,"share":1,` +
		`"hosts":{"b:1":0.0000001,"a:1":1e21,"c:1":0.5}}}}`

	// equalDocument has the values of testDocument in another notation, order and spacing.
	equalDocument = `{ "tables": {"sheet": {"hosts": {"c:1": 5e-1, "a:1": 1000000000000000000000, "b:1": 1e-7}, ` +
		`"share": 1.0, "tries": 1}}, "proxy": "p"}`
)

// A signature is valid for a document with the same values, in whatever notation, order and spacing. It is invalid for
// another weight, host, proxy, tag, expiry or signer, and after its expiry.
func TestSignatures(t *testing.T) {
	for _, curve := range []elliptic.Curve{elliptic.P256(), elliptic.P384()} {
		signer, certificate := newSigner(t, curve)
		_, otherCertificate := newSigner(t, curve)
		tables, err := Canonical([]byte(testDocument[strings.Index(testDocument, `{"sheet"`) : len(testDocument)-1]))
		if err != nil {
			t.Fatal(err)
		}
		now := time.Unix(1000, 0)
		value, err := signer.Sign("p", "L-7", tables, now.Add(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		for _, test := range []struct {
			name, value, proxy, tag, document string
			now                               time.Time
			signer                            *x509.Certificate // the expected one
			want                              string            // part of the error; "" for none
		}{
			{"as signed", value, "p", "L-7", testDocument, now, certificate, ""},
			{"another notation", value, "p", "L-7", equalDocument, now, certificate, ""},
			{"another weight", value, "p", "L-7", strings.Replace(testDocument, "0.5", "0.6", 1), now, certificate,
				"does not match"},
			{"a removed host", value, "p", "L-7", strings.Replace(testDocument, `,"c:1":0.5`, "", 1), now, certificate,
				"does not match"},
			{"another proxy", value, "q", "L-7", testDocument, now, certificate, `not for "q"`},
			{"another proxy, also in the document", value, "q", "L-7", strings.Replace(testDocument, `"p"`, `"q"`, 1), now,
				certificate, "does not match"},
			{"another tag", value, "p", "L-8", testDocument, now, certificate, "does not match"},
			{"a later expiry", strings.Replace(value, "exp=1060", "exp=1061", 1), "p", "L-7", testDocument, now, certificate,
				"does not match"},
			{"expired", value, "p", "L-7", testDocument, now.Add(time.Minute), certificate, "expired at"},
			{"another signer", value, "p", "L-7", testDocument, now, otherCertificate, errOtherSigner.Error()},
			{"unsigned", "", "p", "L-7", testDocument, now, certificate, "not signed"},
			{"truncated", value[:len(value)-5], "p", "L-7", testDocument, now, certificate, " "},
			{"invalid JWS", "exp=2000; jws=x", "p", "L-7", testDocument, now, certificate, "reading"},
			{"no expiry", "jws=x", "p", "L-7", testDocument, now, certificate, "malformed table signature"},
			{"algorithm none", "exp=1060; jws=eyJhbGciOiJub25lIn0..", "p", "L-7", testDocument, now, certificate, "reading"},
			{"truncated document", value, "p", "L-7", "{", now, certificate, "reading"},
		} {
			err := Verify(test.value, test.proxy, test.tag, []byte(test.document), test.now, expectSigner(test.signer))
			if (test.want == "") != (err == nil) || err != nil && !strings.Contains(err.Error(), test.want) {
				t.Errorf("%s: got the error %v, want %q", test.name, err, test.want)
			}
		}
		late, err := signer.Sign("p", "L-7", tables, certificateExpiry.Add(time.Hour))
		if err != nil || !strings.HasPrefix(late, "exp=2000;") {
			t.Errorf("expiry after the certificate's: got %.20q, error %v, want exp=2000", late, err)
		}
	}
}

func TestNewer(t *testing.T) {
	for _, test := range []struct {
		tag, other                 string
		wantNewer, wantIncarnation bool
	}{
		{"L-8", "L-7", true, true},
		{"L-7", "L-8", false, true},
		{"L-7", "L-7", false, true},
		{"M-9", "L-7", false, false},
		{"L-8", "", false, false},
		{"a-b-3", "a-b-2", true, true},
	} {
		newer, sameIncarnation := Newer(test.tag, test.other)
		if newer != test.wantNewer || sameIncarnation != test.wantIncarnation {
			t.Errorf("Newer(%q, %q): got %v, %v, want %v, %v",
				test.tag, test.other, newer, sameIncarnation, test.wantNewer, test.wantIncarnation)
		}
	}
}

// Verify accepts no signature that was made without a key, and ends for any input.
func FuzzVerify(f *testing.F) {
	f.Add("exp=2000; jws=eyJhbGciOiJFUzI1NiIsIng1YyI6WyJBQUFBIl19..AAAA", `{"proxy":"p","tables":{"sheet":{}}}`)
	f.Add("exp=1; jws=..", `{}`)
	f.Fuzz(func(t *testing.T, value, document string) {
		if Verify(value, "p", "L-1", []byte(document), time.Unix(1000, 0), acceptAnySigner) == nil {
			t.Errorf("accepted the signature %q of %q", value, document)
		}
	})
}

// BenchmarkSign measures the signing of two tables of 400 hosts.
func BenchmarkSign(b *testing.B) {
	signer, _ := newSigner(b, elliptic.P256())
	tables := largeTables(b)
	b.ResetTimer()
	for range b.N {
		if _, err := signer.Sign("p", "L-1", tables, time.Unix(1500, 0)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkVerify measures the verification of two tables of 400 hosts.
func BenchmarkVerify(b *testing.B) {
	signer, _ := newSigner(b, elliptic.P256())
	tables := largeTables(b)
	value, err := signer.Sign("p", "L-1", tables, time.Unix(1500, 0))
	if err != nil {
		b.Fatal(err)
	}
	document := append(append([]byte(`{"proxy":"p","tables":`), tables...), '}')
	b.ResetTimer()
	for range b.N {
		if err := Verify(value, "p", "L-1", document, time.Unix(1000, 0), acceptAnySigner); err != nil {
			b.Fatal(err)
		}
	}
}

// largeTables returns two tables of 400 hosts in canonical form.
func largeTables(b *testing.B) []byte {
	b.Helper()
	var hosts []string
	for i := range 400 {
		hosts = append(hosts, fmt.Sprintf(`"10.0.%d.%d:80":1.06745`, i/250, i%250))
	}
	table := `{"hosts":{` + strings.Join(hosts, ",") + `},"share":1,"tries":1}`
	tables, err := Canonical([]byte(`{"sheet":` + table + `,"finish":` + table + `}`))
	if err != nil {
		b.Fatal(err)
	}
	return tables
}
