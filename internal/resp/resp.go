// Package resp reads and writes messages that are framed by RESP2 as arrays of bulk strings. It owns the framing alone:
// what the words of a message mean is the caller's. What it reads is bounded: a peer that announces impossible lengths,
// or whose message never ends, costs no more memory than the bytes it has sent within the limits.
package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	arrayPrefix  = '*' // first byte of the line that announces how many bulk strings follow
	bulkPrefix   = '$' // first byte of the line that announces how many bytes a bulk string has
	lineEnd      = "\r\n"
	lineOverhead = 1 + len(lineEnd) // bytes of a length line besides its digits

	// maxDigits bounds the digits of a length, leading zeros included; the number then fits into an int.
	maxDigits = 13

	readBufferBytes = 2048 // most messages fit
	bulkChunkBytes  = 512  // a bulk string is allocated as it arrives, by so much at once
)

// Limits bound one message.
type Limits struct {
	Words int // bulk strings in an array
	Bytes int // of the whole message, framing included
}

// ProtocolError says why bytes are not a message. Nothing after them can be read either: the peer's next message cannot
// be found.
type ProtocolError struct {
	Reason string
}

func (e *ProtocolError) Error() string { return e.Reason }

func protocolErrorf(format string, args ...any) error {
	return &ProtocolError{Reason: fmt.Sprintf(format, args...)}
}

// Reader reads messages from a connection.
type Reader struct {
	buffer    *bufio.Reader
	bytesLeft int // that the message being read may still have
}

// NewReader returns a Reader of what comes in from source.
func NewReader(source io.Reader) *Reader {
	return &Reader{buffer: bufio.NewReaderSize(source, readBufferBytes)}
}

// Read reads one message and returns its words, for which it uses the memory of the slice given. A *ProtocolError means
// that the bytes are no message within the limits; io.EOF comes only between messages, io.ErrUnexpectedEOF within one.
func (r *Reader) Read(words []string, limits Limits) ([]string, error) {
	r.bytesLeft = limits.Bytes
	count, err := r.readLength(arrayPrefix, limits.Words)
	if err != nil {
		return nil, err
	}
	words = words[:0]
	for range count {
		size, err := r.readLength(bulkPrefix, r.bytesLeft)
		if err != nil {
			return nil, withinMessage(err)
		}
		word, err := r.readBulk(size)
		if err != nil {
			return nil, withinMessage(err)
		}
		words = append(words, word)
	}
	return words, nil
}

// withinMessage makes an end of the input, which is regular between messages, an unexpected one.
func withinMessage(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLength reads a line that announces a length: its prefix, digits, CR LF.
func (r *Reader) readLength(prefix byte, limit int) (int, error) {
	first, err := r.buffer.ReadByte()
	if err != nil {
		return 0, err
	}
	if first != prefix { // refused at the first byte: what follows might never end in a line
		return 0, protocolErrorf("%q stands where %q is due", first, prefix)
	}
	length, digits, err := r.readDigits()
	if err != nil {
		return 0, err
	}
	last, err := r.buffer.ReadByte()
	if err != nil {
		return 0, withinMessage(err)
	}
	if last != '\n' {
		return 0, protocolErrorf("a length ends with %q", last)
	}
	r.bytesLeft -= digits + lineOverhead
	if length > limit || r.bytesLeft < 0 {
		return 0, protocolErrorf("a length of %d where %d are left", length, limit)
	}
	return length, nil
}

// readDigits reads a decimal number up to and with the CR that ends it, and returns how many digits it has.
func (r *Reader) readDigits() (number, digits int, err error) {
	for {
		next, err := r.buffer.ReadByte()
		if err != nil {
			return 0, 0, withinMessage(err)
		}
		if next == '\r' && digits > 0 {
			return number, digits, nil
		}
		if next < '0' || next > '9' || digits >= maxDigits {
			return 0, 0, protocolErrorf("%q stands in a length", next)
		}
		number = number*10 + int(next-'0')
		digits++
	}
}

// readBulk reads the bytes of a bulk string and the line end after them. It allocates what has arrived, not what was
// announced.
func (r *Reader) readBulk(size int) (string, error) {
	r.bytesLeft -= size + len(lineEnd)
	if r.bytesLeft < 0 {
		return "", protocolErrorf("a message is too long")
	}
	var body bytes.Buffer
	var chunk [bulkChunkBytes]byte
	for body.Len() < size {
		n, err := io.ReadFull(r.buffer, chunk[:min(size-body.Len(), len(chunk))])
		body.Write(chunk[:n])
		if err != nil {
			return "", err
		}
	}
	for _, want := range []byte(lineEnd) {
		got, err := r.buffer.ReadByte()
		if err != nil {
			return "", err
		}
		if got != want {
			return "", protocolErrorf("a bulk string ends with %q", got)
		}
	}
	return body.String(), nil
}

// Append appends a message of the words to destination and returns the extended slice.
func Append(destination []byte, words ...string) []byte {
	destination = appendLength(destination, arrayPrefix, len(words))
	for _, word := range words {
		destination = appendLength(destination, bulkPrefix, len(word))
		destination = append(destination, word...)
		destination = append(destination, lineEnd...)
	}
	return destination
}

func appendLength(destination []byte, prefix byte, length int) []byte {
	destination = append(destination, prefix)
	destination = strconv.AppendInt(destination, int64(length), 10)
	return append(destination, lineEnd...)
}
