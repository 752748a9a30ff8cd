package resp

import (
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"barleysail/internal/golden"
)

var limits = Limits{Words: 4, Bytes: 60}

// Each line of the trace is what came in and what was read of it, up to the error that ended it.
func TestMessages(t *testing.T) {
	var now strings.Builder
	for _, in := range []string{
		"", "*1\r\n$4\r\nPING\r\n", "*2\r\n$1\r\na\r\n$0\r\n\r\n*0\r\n*1\r\n$4\r\n\r\n\r\n\r\n",
		"PING\r\n", "GET / HTTP/1.1\r\n", "*", "*1\r\n", "*1\r\n$4\r\nPI", "*1\r\n$4\r\nPINGxx", "*1\r\n$4\r\nPING\n",
		"*-1\r\n", "*1\r\n$-1\r\n", "*5\r\n", "*1\r\n:4\r\n", "*1\r\n$61\r\n", "*1\r\n$99999999999999999999\r\n",
		"*00000000000000000000001\r\n", "*\r\n", "*1\n$1\n", "*1\r\n*1\r\n$1\r\na\r\n", "*2\r\n$30\r\n" + strings.Repeat("x", 30) + "\r\n$30\r\n",
		"*1\r\n$18446744073709551617\r\n",
	} {
		for _, r := range []io.Reader{strings.NewReader(in), iotest.OneByteReader(strings.NewReader(in))} {
			reader, out := NewReader(r), ""
			for {
				words, err := reader.Read(nil, limits)
				if err != nil {
					var ill textproto.ProtocolError
					out += fmt.Sprintf(" %v (malformed %v)", err, errors.As(err, &ill))
					break
				}
				out += fmt.Sprintf(" %q", words)
			}
			fmt.Fprintf(&now, "%q:%s\n", in, out)
		}
	}
	golden.Trace(t, now.String())
}

// What is written can be read, and what was read and written again is the same; nothing panics or passes its limits.
func FuzzRead(f *testing.F) {
	f.Add([]byte("*2\r\n$1\r\na\r\n$0\r\n\r\n"))
	f.Add([]byte("*1\r\n$4\r\nPING\r\n*9\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(strings.NewReader(string(in)))
		for {
			words, err := r.Read(nil, limits)
			if err != nil {
				return
			}
			again, err := NewReader(strings.NewReader(string(Append(nil, words...)))).Read(nil, limits)
			if diff := cmp.Diff(words, again); diff != "" || err != nil || len(words) > limits.Words {
				t.Fatalf("%q: %v, %s", in, err, diff)
			}
		}
	})
}
