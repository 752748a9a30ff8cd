package resp

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"barleysail/internal/golden"
)

var testLimits = Limits{Words: 4, Bytes: 60}

// Each line of the trace holds an input and the messages that were read from it, up to the error that ended it.
func TestMessages(t *testing.T) {
	var trace strings.Builder
	for _, input := range []string{
		"", "*1\r\n$4\r\nPING\r\n", "*2\r\n$1\r\na\r\n$0\r\n\r\n*0\r\n*1\r\n$4\r\n\r\n\r\n\r\n",
		"PING\r\n", "GET / HTTP/1.1\r\n", "*", "*1\r\n", "*1\r\n$4\r\nPI", "*1\r\n$4\r\nPINGxx", "*1\r\n$4\r\nPING\n",
		"*-1\r\n", "*1\r\n$-1\r\n", "*5\r\n", "*1\r\n:4\r\n", "*1\r\n$61\r\n", "*1\r\n$99999999999999999999\r\n",
		"*00000000000000000000001\r\n", "*\r\n", "*1\n$1\n", "*1\r\n*1\r\n$1\r\na\r\n",
		"*2\r\n$30\r\n" + strings.Repeat("x", 30) + "\r\n$30\r\n",
		"*1\r\n$18446744073709551617\r\n",
	} {
		for _, source := range []io.Reader{strings.NewReader(input), iotest.OneByteReader(strings.NewReader(input))} {
			fmt.Fprintf(&trace, "%q:%s\n", input, readAll(NewReader(source)))
		}
	}
	golden.CompareForTest(t, trace.String())
}

// readAll spells the messages that come and the error that ends them.
func readAll(reader *Reader) string {
	output := ""
	for {
		words, err := reader.Read(nil, testLimits)
		if err != nil {
			var malformed *ProtocolError
			return output + fmt.Sprintf(" %v (malformed %v)", err, errors.As(err, &malformed))
		}
		output += fmt.Sprintf(" %q", words)
	}
}

// A message that was written can be read, and one that was read is the same when written again; nothing panics or
// exceeds the limits.
func FuzzRead(f *testing.F) {
	f.Add([]byte("*2\r\n$1\r\na\r\n$0\r\n\r\n"))
	f.Add([]byte("*1\r\n$4\r\nPING\r\n*9\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := NewReader(strings.NewReader(string(input)))
		for {
			words, err := reader.Read(nil, testLimits)
			if err != nil {
				return
			}
			written := string(Append(nil, words...))
			again, err := NewReader(strings.NewReader(written)).Read(nil, testLimits)
			if diff := cmp.Diff(words, again); diff != "" || err != nil || len(words) > testLimits.Words {
				t.Fatalf("%q: %v, %s", input, err, diff)
			}
		}
	})
}
