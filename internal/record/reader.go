package record

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"google.golang.org/protobuf/proto"

	"barleysail/internal/record/recordpb"
)

// Reader reads a recording of either format, front to back; memory does not grow with its length.
type Reader struct {
	in            *bufio.Reader
	at            int64
	format        int
	block         []byte
	last          error
	DamagedRanges []DamagedRange // parts that were damaged and passed over, format 2
	whole         bool
}

// Fault is a part of a recording that cannot be used.
type DamagedRange struct {
	FromByte, ToByte int64 // bytes
	AfterMs          float64
	Reason           string
}

func (f DamagedRange) String() string {
	return fmt.Sprintf("bytes %d to %d, after %.3f s: %s", f.FromByte, f.ToByte, f.AfterMs/1000, f.Reason)
}

// NewReader reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 64<<10)} }

// Next gives the next record, io.EOF at the end, ErrTorn where the file ends inside a record. In format 1 a
// damaged record is an error; in format 2 a damaged block is noted in Faults and passed over. After an error it
// gives that again.
func (r *Reader) Next() (*recordpb.Record, error) {
	if r.last != nil {
		return nil, r.last
	}
	if r.format == 0 {
		r.format = 1
		if head, _ := r.in.Peek(len(magic)); string(head) == magic {
			r.format = 2
			r.skip(len(magic))
		}
	}
	var rec *recordpb.Record
	if r.format == 1 {
		rec, r.last = r.old()
	} else {
		rec, r.last = r.next()
	}
	return rec, r.last
}

// Clean tells whether the recording ended with its index.
func (r *Reader) EndedCleanly() bool { return r.whole }

func (r *Reader) skip(n int) { k, _ := r.in.Discard(n); r.at += int64(k) }

// next gives records out of the block that is open, and opens the next.
func (r *Reader) next() (*recordpb.Record, error) {
	for len(r.block) == 0 {
		if err := r.open(); err != nil {
			return nil, err
		}
	}
	size, n := binary.Uvarint(r.block)
	if n <= 0 || size > uint64(len(r.block)-n) {
		return nil, fmt.Errorf("a block before byte %d holds a record longer than itself", r.at)
	}
	body := r.block[n : n+int(size)]
	r.block = r.block[n+int(size):]
	rec := &recordpb.Record{}
	if err := proto.Unmarshal(body, rec); err != nil {
		return nil, fmt.Errorf("a record before byte %d: %w", r.at, err)
	}
	return rec, nil
}

// open reads the next block whose checksum fits.
func (r *Reader) open() error {
	after := 0.0
	for {
		head, err := r.in.Peek(headBytes)
		if len(head) == 0 {
			return io.EOF
		}
		if err != nil && !r.whole {
			return r.tail(after)
		}
		size := int(binary.LittleEndian.Uint32(head[4:]))
		if !bytes.Equal(head[:3], []byte{0xB5, 'B', 'L'}) || head[3] != 'R' && head[3] != 'I' || size > mostBytes {
			if err := r.resync(after, "no block begins there"); err != nil {
				return err
			}
			continue
		}
		kind, first := head[3], math.Float64frombits(binary.LittleEndian.Uint64(head[12:]))
		want := binary.LittleEndian.Uint32(head[20:])
		from := r.at
		r.skip(headBytes)
		packed := make([]byte, size)
		n, err := io.ReadFull(r.in, packed)
		r.at += int64(n)
		if err != nil {
			r.DamagedRanges = append(r.DamagedRanges, DamagedRange{from, r.at, first, "the recording ends inside a block"})
			return ErrTruncated
		}
		if Checksum(packed) != want {
			r.DamagedRanges = append(r.DamagedRanges, DamagedRange{from, r.at, first, "the checksum of a block does not fit"})
			continue
		}
		if kind == 'I' {
			r.whole = true
			return io.EOF
		}
		z, err := unzip()
		if err != nil {
			return fmt.Errorf("making a decoder: %w", err)
		}
		if r.block, err = z.DecodeAll(packed, nil); err != nil {
			r.DamagedRanges = append(r.DamagedRanges, DamagedRange{from, r.at, first, err.Error()})
			r.block = nil
			continue
		}
		return nil
	}
}

// tail notes that the file ends inside a block's head.
func (r *Reader) tail(after float64) error {
	from := r.at
	r.skip(headBytes)
	r.DamagedRanges = append(r.DamagedRanges, DamagedRange{from, r.at, after, "the recording ends inside a block"})
	return ErrTruncated
}

// resync passes over bytes until a block may begin.
func (r *Reader) resync(after float64, why string) error {
	from := r.at
	for {
		r.skip(1)
		head, err := r.in.Peek(4)
		if err != nil {
			r.skip(len(head))
			r.DamagedRanges = append(r.DamagedRanges, DamagedRange{from, r.at, after, why})
			return ErrTruncated
		}
		if bytes.Equal(head[:3], []byte{0xB5, 'B', 'L'}) {
			r.DamagedRanges = append(r.DamagedRanges, DamagedRange{from, r.at, after, why})
			return nil
		}
	}
}

// old reads a record of format 1.
func (r *Reader) old() (*recordpb.Record, error) {
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
	body := make([]byte, 4+size)
	if _, err := io.ReadFull(r.in, body); err != nil {
		return nil, torn(err)
	}
	if Checksum(body[4:]) != binary.LittleEndian.Uint32(body) {
		return nil, fmt.Errorf("record at byte %d: its checksum does not fit", r.at)
	}
	rec := &recordpb.Record{}
	if err := proto.Unmarshal(body[4:], rec); err != nil {
		return nil, fmt.Errorf("record at byte %d: %w", r.at, err)
	}
	r.at += int64(len(binary.AppendUvarint(nil, size))) + 4 + int64(size)
	return rec, nil
}

func torn(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}
