package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// readBody reads a body of the given length, or a chunked one with its trailer section.
func (r *messageReader) readBody(length int64, limits Limits) ([]byte, error) {
	if length < 0 {
		return r.readChunkedBody(limits)
	}
	if length > limits.BodyBytes {
		return nil, invalidMessage(413, "a body of %d bytes, %d at most", length, limits.BodyBytes)
	}
	var body bytes.Buffer
	if err := r.readBodyPart(&body, length); err != nil {
		return nil, fmt.Errorf("reading the body: %w", err)
	}
	return body.Bytes(), nil
}

// readBodyPart appends a part of the given length to a body, and reserves the memory for what arrives.
func (r *messageReader) readBodyPart(body *bytes.Buffer, length int64) error {
	for length > 0 {
		piece := min(length, bodyChunkBytes)
		if err := r.memory.reserve(int(piece) * memoryPerBodyByte); err != nil {
			return err
		}
		if _, err := io.CopyN(body, r.buf, piece); err != nil {
			return withinBody(err)
		}
		length -= piece
	}
	return nil
}

// withinBody converts io.EOF, since the connection ended within a body.
func withinBody(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readChunkedBody reads a chunked body with its trailer section (RFC 9112, section 7.1).
func (r *messageReader) readChunkedBody(limits Limits) ([]byte, error) {
	var body bytes.Buffer
	for {
		size, err := r.readChunkSize(limits)
		if err != nil {
			return nil, err
		}
		if size == 0 {
			break
		}
		if size > limits.BodyBytes-int64(body.Len()) {
			return nil, invalidMessage(413, "a body of more than %d bytes", limits.BodyBytes)
		}
		if err := r.readBodyPart(&body, size); err != nil {
			return nil, fmt.Errorf("reading a chunk: %w", err)
		}
		if end, err := r.readLine(2, 400); err != nil || end != "" {
			return nil, invalidMessage(400, "a chunk is longer than its size")
		}
	}
	if _, err := r.readHeader(limits); err != nil { // trailer fields are discarded
		return nil, err
	}
	return body.Bytes(), nil
}

// readChunkSize reads the line before a chunk.
func (r *messageReader) readChunkSize(limits Limits) (int64, error) {
	line, err := r.readLine(limits.LineBytes, 400)
	if err != nil {
		return 0, fmt.Errorf("reading a chunk's size: %w", err)
	}
	digits, _, _ := strings.Cut(line, ";") // chunk extensions are ignored
	digits = strings.TrimRight(digits, " \t")
	size, err := strconv.ParseInt(digits, 16, 64)
	if err != nil || digits[0] == '-' || digits[0] == '+' {
		return 0, invalidMessage(400, "%.40q is no chunk size", line)
	}
	return size, nil
}
