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
	offset        int64
	format        int
	block         []byte
	lastErr       error
	DamagedRanges []DamagedRange // parts that were damaged and passed over, format 2
	endedCleanly  bool
}

// Fault is a part of a recording that cannot be used.
type DamagedRange struct {
	FromByte, ToByte int64 // bytes
	AfterMs          float64
	Reason           string
}

func (d DamagedRange) String() string {
	return fmt.Sprintf("bytes %d to %d, after %.3f s: %s", d.FromByte, d.ToByte, d.AfterMs/1000, d.Reason)
}

// NewReader reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 64<<10)} }

// Next gives the next record, io.EOF at the end, ErrTorn where the file ends inside a record. In format 1 a
// damaged record is an error; in format 2 a damaged block is noted in Faults and passed over. After an error it
// gives that again.
func (r *Reader) Next() (*recordpb.Record, error) {
	if r.lastErr != nil {
		return nil, r.lastErr
	}
	if r.format == 0 {
		r.format = 1
		if header, _ := r.in.Peek(len(magic)); string(header) == magic {
			r.format = 2
			r.skip(len(magic))
		}
	}
	var record *recordpb.Record
	if r.format == 1 {
		record, r.lastErr = r.nextFormat1()
	} else {
		record, r.lastErr = r.nextInBlocks()
	}
	return record, r.lastErr
}

// Clean tells whether the recording ended with its index.
func (r *Reader) EndedCleanly() bool { return r.endedCleanly }

func (r *Reader) skip(n int) { discarded, _ := r.in.Discard(n); r.offset += int64(discarded) }

// next gives records out of the block that is open, and opens the next.
func (r *Reader) nextInBlocks() (*recordpb.Record, error) {
	for len(r.block) == 0 {
		if err := r.openBlock(); err != nil {
			return nil, err
		}
	}
	size, n := binary.Uvarint(r.block)
	if n <= 0 || size > uint64(len(r.block)-n) {
		return nil, fmt.Errorf("a block before byte %d holds a record longer than itself", r.offset)
	}
	body := r.block[n : n+int(size)]
	r.block = r.block[n+int(size):]
	record := &recordpb.Record{}
	if err := proto.Unmarshal(body, record); err != nil {
		return nil, fmt.Errorf("a record before byte %d: %w", r.offset, err)
	}
	return record, nil
}

// open reads the next block whose checksum fits.
func (r *Reader) openBlock() error {
	afterMs := 0.0
	for {
		header, err := r.in.Peek(blockHeaderBytes)
		if len(header) == 0 {
			return io.EOF
		}
		if err != nil && !r.endedCleanly {
			return r.noteTruncatedHeader(afterMs)
		}
		size := int(binary.LittleEndian.Uint32(header[4:]))
		if !bytes.Equal(header[:3], []byte{0xB5, 'B', 'L'}) || header[3] != 'R' && header[3] != 'I' || size > maxRecordBytes {
			if err := r.skipToBlock(afterMs, "no block begins there"); err != nil {
				return err
			}
			continue
		}
		kind, startMs := header[3], math.Float64frombits(binary.LittleEndian.Uint64(header[12:]))
		wantChecksum := binary.LittleEndian.Uint32(header[20:])
		from := r.offset
		r.skip(blockHeaderBytes)
		compressed := make([]byte, size)
		n, err := io.ReadFull(r.in, compressed)
		r.offset += int64(n)
		if err != nil {
			r.DamagedRanges = append(r.DamagedRanges, DamagedRange{from, r.offset, startMs, "the recording ends inside a block"})
			return ErrTruncated
		}
		if Checksum(compressed) != wantChecksum {
			r.DamagedRanges = append(r.DamagedRanges, DamagedRange{from, r.offset, startMs, "the checksum of a block does not fit"})
			continue
		}
		if kind == 'I' {
			r.endedCleanly = true
			return io.EOF
		}
		decoder, err := sharedDecoder()
		if err != nil {
			return fmt.Errorf("making a decoder: %w", err)
		}
		if r.block, err = decoder.DecodeAll(compressed, nil); err != nil {
			r.DamagedRanges = append(r.DamagedRanges, DamagedRange{from, r.offset, startMs, err.Error()})
			r.block = nil
			continue
		}
		return nil
	}
}

// tail notes that the file ends inside a block's head.
func (r *Reader) noteTruncatedHeader(afterMs float64) error {
	from := r.offset
	r.skip(blockHeaderBytes)
	r.DamagedRanges = append(r.DamagedRanges, DamagedRange{from, r.offset, afterMs, "the recording ends inside a block"})
	return ErrTruncated
}

// resync passes over bytes until a block may begin.
func (r *Reader) skipToBlock(afterMs float64, reason string) error {
	from := r.offset
	for {
		r.skip(1)
		start, err := r.in.Peek(4)
		if err != nil {
			r.skip(len(start))
			r.DamagedRanges = append(r.DamagedRanges, DamagedRange{from, r.offset, afterMs, reason})
			return ErrTruncated
		}
		if bytes.Equal(start[:3], []byte{0xB5, 'B', 'L'}) {
			r.DamagedRanges = append(r.DamagedRanges, DamagedRange{from, r.offset, afterMs, reason})
			return nil
		}
	}
}

// old reads a record of format 1.
func (r *Reader) nextFormat1() (*recordpb.Record, error) {
	if _, err := r.in.Peek(1); err != nil {
		return nil, err
	}
	size, err := binary.ReadUvarint(r.in)
	if err != nil {
		return nil, truncated(err)
	}
	if size > maxRecordBytes {
		return nil, fmt.Errorf("record at byte %d: a length of %d", r.offset, size)
	}
	body := make([]byte, 4+size)
	if _, err := io.ReadFull(r.in, body); err != nil {
		return nil, truncated(err)
	}
	if Checksum(body[4:]) != binary.LittleEndian.Uint32(body) {
		return nil, fmt.Errorf("record at byte %d: its checksum does not fit", r.offset)
	}
	record := &recordpb.Record{}
	if err := proto.Unmarshal(body[4:], record); err != nil {
		return nil, fmt.Errorf("record at byte %d: %w", r.offset, err)
	}
	r.offset += int64(len(binary.AppendUvarint(nil, size))) + 4 + int64(size)
	return record, nil
}

func truncated(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}
