package tablesig

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"math/big"
	"strings"
	"testing"
	"time"
)

// signer is one with a certificate of its own.
func signer(t testing.TB, curve elliptic.Curve) (*Signer, *x509.Certificate) {
	t.Helper()
	key, err := ecdsa.GenerateKey(curve, rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "steward"}, NotAfter: time.Unix(2000, 0)}
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewSigner(key, []*x509.Certificate{cert})
	if err != nil {
		t.Fatal(err)
	}
	return s, cert
}

const doc = `{"proxy":"p","tables":{"sheet":{"tries":1,"share":1,"hosts":{"b:1":0.0000001,"a:1":1e21,"c:1":0.5}}}}`

// A signature fits the document however it is spaced and ordered, and nothing else: not another weight, host, proxy, tag or
// end, nor another signer, nor after its end.
func TestSignatures(t *testing.T) {
	for _, curve := range []elliptic.Curve{elliptic.P256(), elliptic.P384()} {
		s, cert := signer(t, curve)
		_, other := signer(t, curve)
		tables, err := Canonical([]byte(doc[strings.Index(doc, `{"sheet"`) : len(doc)-1]))
		if err != nil {
			t.Fatal(err)
		}
		now := time.Unix(1000, 0)
		field, err := s.Sign("p", "L-7", tables, now.Add(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		judge := func(want *x509.Certificate) func([]*x509.Certificate) error {
			return func(chain []*x509.Certificate) error {
				if !chain[0].Equal(want) {
					return errors.New("a stranger")
				}
				return nil
			}
		}
		for _, x := range []struct {
			what, field, proxy, tag, doc string
			at                           time.Time
			by                           *x509.Certificate
			why                          string
		}{
			{"as signed", field, "p", "L-7", doc, now, cert, ""},
			{"spaced and ordered otherwise", field, "p", "L-7", `{ "tables": {"sheet": {"hosts": {"c:1": 5e-1, "a:1": 1000000000000000000000, "b:1": 1e-7}, "share": 1.0, "tries": 1}}, "proxy": "p"}`, now, cert, ""},
			{"another weight", field, "p", "L-7", strings.Replace(doc, "0.5", "0.6", 1), now, cert, "fit"},
			{"a host less", field, "p", "L-7", strings.Replace(doc, `,"c:1":0.5`, "", 1), now, cert, "fit"},
			{"another proxy's", field, "q", "L-7", doc, now, cert, `not of "q"`},
			{"renamed", field, "q", "L-7", strings.Replace(doc, `"p"`, `"q"`, 1), now, cert, "fit"},
			{"another tag", field, "p", "L-8", doc, now, cert, "fit"},
			{"a later end", strings.Replace(field, "exp=1060", "exp=1061", 1), "p", "L-7", doc, now, cert, "fit"},
			{"past its end", field, "p", "L-7", doc, now.Add(time.Minute), cert, "until"},
			{"by another", field, "p", "L-7", doc, now, other, "a stranger"},
			{"unsigned", "", "p", "L-7", doc, now, cert, "not signed"},
			{"torn", field[:len(field)-5], "p", "L-7", doc, now, cert, " "},
			{"no signature", "exp=2000; jws=x", "p", "L-7", doc, now, cert, "reading"},
			{"no end", "jws=x", "p", "L-7", doc, now, cert, "cannot be read"},
			{"without an algorithm", "exp=1060; jws=eyJhbGciOiJub25lIn0..", "p", "L-7", doc, now, cert, "reading"},
			{"no document", field, "p", "L-7", "{", now, cert, "reading"},
		} {
			err := Verify(x.field, x.proxy, x.tag, []byte(x.doc), x.at, judge(x.by))
			if (x.why == "") != (err == nil) || err != nil && !strings.Contains(err.Error(), x.why) {
				t.Errorf("%s: %v", x.what, err)
			}
		}
		if late, err := s.Sign("p", "L-7", tables, time.Unix(5000, 0)); err != nil || !strings.HasPrefix(late, "exp=2000;") {
			t.Errorf("past the identity's end: %.20s, %v", late, err)
		}
	}
}

func TestNewer(t *testing.T) {
	for _, x := range []struct {
		a, b        string
		newer, same bool
	}{{"L-8", "L-7", true, true}, {"L-7", "L-8", false, true}, {"L-7", "L-7", false, true}, {"M-9", "L-7", false, false}, {"L-8", "", false, false}, {"a-b-3", "a-b-2", true, true}} {
		if newer, same := Newer(x.a, x.b); newer != x.newer || same != x.same {
			t.Errorf("%+v: %v %v", x, newer, same)
		}
	}
}

// Whatever is sent as a signature or a document, checking ends, and nobody gets through who has no key.
func FuzzCheck(f *testing.F) {
	f.Add("exp=2000; jws=eyJhbGciOiJFUzI1NiIsIng1YyI6WyJBQUFBIl19..AAAA", `{"proxy":"p","tables":{"sheet":{}}}`)
	f.Add("exp=1; jws=..", `{}`)
	f.Fuzz(func(t *testing.T, field, doc string) {
		if Verify(field, "p", "L-1", []byte(doc), time.Unix(1000, 0), func([]*x509.Certificate) error { return nil }) == nil {
			t.Errorf("taken: %q %q", field, doc)
		}
	})
}

// What signing and checking a table of 400 hosts costs.
func BenchmarkSign(b *testing.B) {
	s, _ := signer(b, elliptic.P256())
	tables := big400(b)
	b.ResetTimer()
	for range b.N {
		if _, err := s.Sign("p", "L-1", tables, time.Unix(1500, 0)); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCheck(b *testing.B) {
	s, _ := signer(b, elliptic.P256())
	tables := big400(b)
	field, _ := s.Sign("p", "L-1", tables, time.Unix(1500, 0))
	doc := append(append([]byte(`{"proxy":"p","tables":`), tables...), '}')
	b.ResetTimer()
	for range b.N {
		if err := Verify(field, "p", "L-1", doc, time.Unix(1000, 0), func([]*x509.Certificate) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}

func big400(b *testing.B) []byte {
	var hosts []string
	for i := range 400 {
		hosts = append(hosts, `"10.0.`+big.NewInt(int64(i/250)).String()+"."+big.NewInt(int64(i%250)).String()+`:80":1.06745`)
	}
	one := `{"hosts":{` + strings.Join(hosts, ",") + `},"share":1,"tries":1}`
	tables, err := Canonical([]byte(`{"sheet":` + one + `,"finish":` + one + `}`))
	if err != nil {
		b.Fatal(err)
	}
	return tables
}
