// Package resp reads and writes messages in the framing of RESP2 (the Redis serialization protocol, version 2), as
// arrays of bulk strings. It owns the framing only; the caller interprets the words of a message. The size of a message
// is bounded: a peer that announces a very long message uses no more memory than the bytes that it has really sent.
package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	arrayPrefix  = '*' // first byte of the line that announces how many bulk strings follow
	bulkPrefix   = '$' // first byte of the line that announces how many bytes a bulk string has
	lineEnd      = "\r\n"
	lineOverhead = 1 + len(lineEnd) // bytes of a length line other than its digits

	// maxDigits bounds the digits of a length, including leading zeros, so that the number fits into an int.
	maxDigits = 13

	readBufferBytes = 2048 // most messages fit
	bulkChunkBytes  = 512  // size of the chunks in which a bulk string is read and allocated

	// unreservedBytes is the size of a message up to which no memory is reserved in the Budget.
	unreservedBytes = 4 << 10
	// reservationBytes is the number of bytes of a message for which memory is reserved at a time.
	reservationBytes = 16 << 10
	// memoryPerByte is the memory that is reserved for a byte of a message, which is copied as the message grows.
	memoryPerByte = 2
)

// Limits bound one message.
type Limits struct {
	Words int // bulk strings of the array
	Bytes int // of the whole message, including its framing
}

// Budget bounds the memory that the large messages of many connections hold together.
type Budget interface {
	// Reserve reserves memory for a message that is being read. With an error, Read ends with that error.
	Reserve(bytes int) error
	// Release releases all memory that was reserved for the message.
	Release()
}

// ProtocolError is the error of bytes that are not a message within the limits. The connection cannot be read any
// further, since the start of the next message is unknown.
type ProtocolError struct {
	Reason string
}

// Error returns the reason.
func (e *ProtocolError) Error() string { return e.Reason }

func protocolErrorf(format string, args ...any) error {
	return &ProtocolError{Reason: fmt.Sprintf(format, args...)}
}

// Reader reads messages from a connection. It is not safe for concurrent use.
type Reader struct {
	buffer    *bufio.Reader
	budget    Budget // nil: memory is not bounded
	bytesLeft int    // bytes that the current message may still have
	bytesRead int    // bytes of the bulk strings of the current message
	reserved  int    // bytes of the current message for which memory is reserved, or which need none
}

// NewReader returns a Reader that reads from source. It reserves memory for large messages in the budget, unless that
// is nil.
func NewReader(source io.Reader, budget Budget) *Reader {
	return &Reader{
		buffer:   bufio.NewReaderSize(source, readBufferBytes),
		budget:   budget,
		reserved: unreservedBytes,
	}
}

// Release releases the memory that is reserved for the last message. The next Read does so as well; it is to be called
// after the last Read.
func (r *Reader) Release() {
	r.bytesRead = 0
	if r.reserved > unreservedBytes {
		r.budget.Release()
		r.reserved = unreservedBytes
	}
}

// reserve reserves memory for further bytes of the current message.
func (r *Reader) reserve(bytes int) error {
	r.bytesRead += bytes
	if r.budget == nil || r.bytesRead <= r.reserved {
		return nil
	}
	if err := r.budget.Reserve(reservationBytes * memoryPerByte); err != nil {
		return err
	}
	r.reserved += reservationBytes
	return nil
}

// Read reads one message and returns its words in the memory of the given slice, whose content it overwrites. The error
// is a *ProtocolError if the bytes are not a message within the limits, io.EOF if the input ends between two messages,
// io.ErrUnexpectedEOF if it ends within one, or another error of the source or the budget.
func (r *Reader) Read(words []string, limits Limits) ([]string, error) {
	r.Release()
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

// withinMessage converts io.EOF, which is regular only between two messages, to io.ErrUnexpectedEOF.
func withinMessage(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLength reads a line with a length: a prefix, digits, CR LF. The error for a length above limit, or beyond the
// bytes that the message may still have, is a *ProtocolError.
func (r *Reader) readLength(prefix byte, limit int) (int, error) {
	first, err := r.buffer.ReadByte()
	if err != nil {
		return 0, err
	}
	if first != prefix { // the error is returned at once, since the rest of the line may never arrive
		return 0, protocolErrorf("unexpected byte %q, want %q", first, prefix)
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
		return 0, protocolErrorf("length line has %q after CR, want %q", last, '\n')
	}
	r.bytesLeft -= digits + lineOverhead
	if length > limit || r.bytesLeft < 0 {
		return 0, protocolErrorf("length %d exceeds the limit of %d or the byte limit of the message", length, limit)
	}
	return length, nil
}

// readDigits reads a decimal number and the CR that ends it. It returns the number and how many digits it has.
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
			return 0, 0, protocolErrorf("unexpected byte %q after %d digits of a length", next, digits)
		}
		number = number*10 + int(next-'0')
		digits++
	}
}

// readBulk reads the bytes of a bulk string and the line end after them. It allocates memory for the bytes that have
// arrived, not for the announced size.
func (r *Reader) readBulk(size int) (string, error) {
	r.bytesLeft -= size + len(lineEnd)
	if r.bytesLeft < 0 {
		return "", protocolErrorf("message exceeds its byte limit")
	}
	var body strings.Builder
	var chunk [bulkChunkBytes]byte
	for body.Len() < size {
		next := chunk[:min(size-body.Len(), len(chunk))]
		if err := r.reserve(len(next)); err != nil {
			return "", err
		}
		count, err := io.ReadFull(r.buffer, next)
		body.Write(next[:count])
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
			return "", protocolErrorf("bulk string is followed by %q, want %q", got, want)
		}
	}
	return body.String(), nil
}

// Append appends a message with the words to destination and returns the extended slice.
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
