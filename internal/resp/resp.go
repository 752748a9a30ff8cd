// Package resp frames messages by RESP2 as arrays of bulk strings. What it reads is bounded: a peer that announces
// impossible lengths, or never ends, costs no more memory than it has sent bytes within the limits.
package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
)

// Limits bound a message.
type Limits struct {
	Words int // bulk strings in an array
	Bytes int // of the whole message, framing included
}

// lineMost is the longest line that can announce a length: its type, digits and CR LF.
const lineMost = 16

// Reader reads messages off a connection.
type Reader struct {
	buf  *bufio.Reader
	left int
}

// NewReader reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{buf: bufio.NewReaderSize(r, 2048)} }

// Read reads one message into words, which are made anew. A textproto.ProtocolError means that the bytes are no
// message and that nothing after them can be read either; io.EOF comes only between messages.
func (r *Reader) Read(words []string, l Limits) ([]string, error) {
	r.left = l.Bytes
	n, err := r.length('*', l.Words)
	if err != nil {
		return nil, err
	}
	words = words[:0]
	for range n {
		size, err := r.length('$', r.left)
		if err != nil {
			return nil, cutShort(err)
		}
		word, err := r.bulk(size)
		if err != nil {
			return nil, cutShort(err)
		}
		words = append(words, word)
	}
	return words, nil
}

func cutShort(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func malformed(format string, args ...any) error {
	return textproto.ProtocolError(fmt.Sprintf(format, args...))
}

// length reads a line that announces a length: its type, digits, CR LF.
func (r *Reader) length(kind byte, most int) (int, error) {
	first, err := r.buf.ReadByte()
	if err != nil {
		return 0, err
	}
	if first != kind { // seen at the first byte: what follows might never end in a line
		return 0, malformed("%q stands where %q is due", first, kind)
	}
	n, digits := 0, 0
	for {
		c, err := r.buf.ReadByte()
		if err != nil {
			return 0, cutShort(err)
		}
		if c == '\r' && digits > 0 {
			break
		}
		if c < '0' || c > '9' || digits+4 > lineMost {
			return 0, malformed("%q stands in a length", c)
		}
		n, digits = n*10+int(c-'0'), digits+1
	}
	if c, err := r.buf.ReadByte(); err != nil {
		return 0, cutShort(err)
	} else if c != '\n' {
		return 0, malformed("a length ends with %q", c)
	}
	if r.left -= digits + 3; n > most || r.left < 0 {
		return 0, malformed("a length of %d where %d are left", n, most)
	}
	return n, nil
}

// bulk reads the bytes of a bulk string. What was only announced is not allocated.
func (r *Reader) bulk(size int) (string, error) {
	if r.left -= size + 2; r.left < 0 {
		return "", malformed("a message is too long")
	}
	var body []byte
	for part := [512]byte{}; size > 0; {
		n, err := io.ReadFull(r.buf, part[:min(size, len(part))])
		body, size = append(body, part[:n]...), size-n
		if err != nil {
			return "", err
		}
	}
	for _, want := range []byte("\r\n") {
		if c, err := r.buf.ReadByte(); err != nil {
			return "", err
		} else if c != want {
			return "", malformed("a bulk string ends with %q", c)
		}
	}
	return string(body), nil
}

// Append appends a message to dst.
func Append(dst []byte, words ...string) []byte {
	dst = append(strconv.AppendInt(append(dst, '*'), int64(len(words)), 10), '\r', '\n')
	for _, w := range words {
		dst = append(strconv.AppendInt(append(dst, '$'), int64(len(w)), 10), '\r', '\n')
		dst = append(append(dst, w...), '\r', '\n')
	}
	return dst
}
