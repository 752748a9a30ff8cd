// Package record writes and reads recordings: every input of a steward with its time, and what it published.
// A record stands as its length, its CRC-32C and its protobuf bytes, so that a torn tail is seen.
package record

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"google.golang.org/protobuf/proto"

	"barleysail/internal/record/recordpb"
)

// Format is the number of the format written.
const Format = 1

// mostBytes bounds a record; a longer one is damage.
const mostBytes = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Sum is the checksum of a document.
func Sum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// Writer writes records. It keeps the first error and writes nothing after it.
type Writer struct {
	out *bufio.Writer
	err error
	buf []byte
}

// NewWriter writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, 64<<10)} }

// Write adds a record.
func (w *Writer) Write(r *recordpb.Record) error {
	if w.err != nil {
		return w.err
	}
	body, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(w.buf[:0], r)
	if err != nil {
		w.err = fmt.Errorf("encoding a record: %w", err)
		return w.err
	}
	w.buf = body
	var head [binary.MaxVarintLen64 + 4]byte
	n := binary.PutUvarint(head[:], uint64(len(body)))
	binary.LittleEndian.PutUint32(head[n:], Sum(body))
	if _, err := w.out.Write(head[:n+4]); err != nil {
		w.err = fmt.Errorf("writing a record: %w", err)
	} else if _, err := w.out.Write(body); err != nil {
		w.err = fmt.Errorf("writing a record: %w", err)
	}
	return w.err
}

// Flush passes on what is buffered.
func (w *Writer) Flush() error {
	if w.err == nil {
		w.err = w.out.Flush()
	}
	return w.err
}

// ErrTorn ends a recording whose last record is not whole.
var ErrTorn = errors.New("the recording ends inside a record")

// Reader reads records.
type Reader struct {
	in   *bufio.Reader
	at   int64
	buf  []byte
	last error
}

// NewReader reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 64<<10)} }

// Next gives the next record, io.EOF at a clean end, ErrTorn where the file ends inside a record, and another
// error at a damaged one, with its place. After an error it gives that again.
func (r *Reader) Next() (*recordpb.Record, error) {
	if r.last != nil {
		return nil, r.last
	}
	rec, err := r.next()
	r.last = err
	return rec, err
}

func (r *Reader) next() (*recordpb.Record, error) {
	if _, err := r.in.Peek(1); err != nil {
		return nil, err
	}
	size, err := binary.ReadUvarint(r.in)
	if err != nil {
		return nil, torn(err)
	}
	if size > mostBytes {
		return nil, fmt.Errorf("record at byte %d: a length of %d", r.at, size)
	}
	var sum [4]byte
	if _, err := io.ReadFull(r.in, sum[:]); err != nil {
		return nil, torn(err)
	}
	if uint64(cap(r.buf)) < size {
		r.buf = make([]byte, size)
	}
	body := r.buf[:size]
	if _, err := io.ReadFull(r.in, body); err != nil {
		return nil, torn(err)
	}
	if Sum(body) != binary.LittleEndian.Uint32(sum[:]) {
		return nil, fmt.Errorf("record at byte %d: its checksum does not fit", r.at)
	}
	rec := &recordpb.Record{}
	if err := proto.Unmarshal(body, rec); err != nil {
		return nil, fmt.Errorf("record at byte %d: %w", r.at, err)
	}
	r.at += int64(len(binary.AppendUvarint(nil, size))) + 4 + int64(size)
	return rec, nil
}

// At is the byte at which the next record begins: what stands before is whole.
func (r *Reader) At() int64 { return r.at }

func torn(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTorn
	}
	return err
}
