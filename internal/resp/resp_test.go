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

// TestMessages reads valid and malformed inputs, each in one piece and byte by byte. Each line of the golden file holds
// an input, the messages that were read from it, and the error that ended the reading.
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
			fmt.Fprintf(&trace, "%q:%s\n", input, readAll(NewReader(source, nil)))
		}
	}
	golden.CompareForTest(t, trace.String())
}

// readAll reads messages until an error, and formats the messages and the error.
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

// FuzzRead checks that a message that was read is the same after it is written and read again, that no message has more
// words than its limit, and that no input makes the reader panic.
func FuzzRead(f *testing.F) {
	f.Add([]byte("*2\r\n$1\r\na\r\n$0\r\n\r\n"))
	f.Add([]byte("*1\r\n$4\r\nPING\r\n*9\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := NewReader(strings.NewReader(string(input)), nil)
		for {
			words, err := reader.Read(nil, testLimits)
			if err != nil {
				return
			}
			written := string(Append(nil, words...))
			reread, err := NewReader(strings.NewReader(written), nil).Read(nil, testLimits)
			if diff := cmp.Diff(words, reread); diff != "" || err != nil || len(words) > testLimits.Words {
				t.Fatalf("input %q: message of %d words, want at most %d; read again after writing it: error %v, want nil; "+
					"(-first +reread):\n%s", input, len(words), testLimits.Words, err, diff)
			}
		}
	})
}
