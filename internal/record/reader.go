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

// Reader reads a recording of any format from front to back. Its memory does not grow with the recording.
type Reader struct {
	in            *bufio.Reader
	offset        int64
	format        int // 0: not known yet; 1; or 2, which stands for all formats with blocks
	block         []byte
	lastErr       error
	DamagedRanges []DamagedRange // skipped parts, from format 2 on
	endedCleanly  bool
}

// DamagedRange is a part of a recording that cannot be read.
type DamagedRange struct {
	FromByte, ToByte int64
	AfterMs          float64 // time of the damaged block's first record; 0 if its header is damaged
	Reason           string
}

func (d DamagedRange) String() string {
	return fmt.Sprintf("bytes %d to %d, after %.3f s: %s", d.FromByte, d.ToByte, d.AfterMs/1000, d.Reason)
}

// NewReader returns a reader of a recording.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 64<<10)} }

// Next returns the next record, io.EOF at the end, and ErrTruncated if the recording ends inside a record. In format 1
// a damaged record is an error; from format 2 on a damaged block is added to DamagedRanges and skipped. After an error
// Next returns that error again.
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

// EndedCleanly reports whether the recording ended with its index.
func (r *Reader) EndedCleanly() bool { return r.endedCleanly }

func (r *Reader) skip(n int) { discarded, _ := r.in.Discard(n); r.offset += int64(discarded) }

// nextInBlocks returns the next record of the open block, and opens the next block after the last.
func (r *Reader) nextInBlocks() (*recordpb.Record, error) {
	for len(r.block) == 0 {
		if err := r.openBlock(); err != nil {
			return nil, err
		}
	}
	size, n := binary.Uvarint(r.block)
	if n <= 0 || size > uint64(len(r.block)-n) {
		return nil, fmt.Errorf("block before byte %d: the length of a record exceeds the block", r.offset)
	}
	body := r.block[n : n+int(size)]
	r.block = r.block[n+int(size):]
	record := &recordpb.Record{}
	if err := proto.Unmarshal(body, record); err != nil {
		return nil, fmt.Errorf("decoding a record before byte %d: %w", r.offset, err)
	}
	return record, nil
}

// blockHeader is the header of a block.
type blockHeader struct {
	kind     byte
	size     int     // of the compressed records, in bytes
	startMs  float64 // instant of the first record
	checksum uint32  // of the compressed records
}

// parseBlockHeader returns the header of a block from its bytes. It returns false if they are no valid header, or fewer
// than a header has.
func parseBlockHeader(header []byte) (parsed blockHeader, valid bool) {
	if len(header) < blockHeaderBytes {
		return blockHeader{}, false
	}
	parsed = blockHeader{
		kind:     header[len(blockMagic)],
		size:     int(binary.LittleEndian.Uint32(header[4:])),
		startMs:  math.Float64frombits(binary.LittleEndian.Uint64(header[12:])),
		checksum: binary.LittleEndian.Uint32(header[20:]),
	}
	knownKind := parsed.kind == recordsKind || parsed.kind == indexKind
	return parsed, bytes.Equal(header[:len(blockMagic)], []byte(blockMagic)) && knownKind && parsed.size <= maxRecordBytes
}

// openBlock reads the next undamaged block.
func (r *Reader) openBlock() error {
	afterMs := 0.0
	for {
		start, err := r.in.Peek(blockHeaderBytes)
		if len(start) == 0 {
			return io.EOF
		}
		if err != nil && !r.endedCleanly {
			return r.noteTruncatedHeader(afterMs)
		}
		header, valid := parseBlockHeader(start)
		if !valid {
			if err := r.skipToBlock(afterMs, "no valid block header"); err != nil {
				return err
			}
			continue
		}
		if damaged, err := r.readBlock(header); !damaged {
			return err
		}
	}
}

// readBlock reads the block that begins with a header at the current offset. It returns true, and adds a damaged range,
// if the block is complete but damaged.
func (r *Reader) readBlock(header blockHeader) (damaged bool, err error) {
	from := r.offset
	r.skip(blockHeaderBytes)
	compressed := make([]byte, header.size)
	n, err := io.ReadFull(r.in, compressed)
	r.offset += int64(n)
	if err != nil {
		r.addDamagedRange(from, header.startMs, "the recording ends inside a block")
		return false, ErrTruncated
	}
	if Checksum(compressed) != header.checksum {
		r.addDamagedRange(from, header.startMs, "the checksum of the block does not match")
		return true, nil
	}
	if header.kind == indexKind {
		r.endedCleanly = true
		return false, io.EOF
	}
	decoder, err := sharedDecoder()
	if err != nil {
		return false, fmt.Errorf("creating a decoder: %w", err)
	}
	if r.block, err = decoder.DecodeAll(compressed, nil); err != nil {
		r.addDamagedRange(from, header.startMs, err.Error())
		r.block = nil
		return true, nil
	}
	return false, nil
}

// noteTruncatedHeader reports that the recording ends inside the header of a block.
func (r *Reader) noteTruncatedHeader(afterMs float64) error {
	from := r.offset
	r.skip(blockHeaderBytes)
	r.addDamagedRange(from, afterMs, "the recording ends inside a block")
	return ErrTruncated
}

// addDamagedRange adds the range from an offset to the current one.
func (r *Reader) addDamagedRange(from int64, afterMs float64, reason string) {
	r.DamagedRanges = append(r.DamagedRanges, DamagedRange{from, r.offset, afterMs, reason})
}

// skipToBlock skips bytes until a block may begin.
func (r *Reader) skipToBlock(afterMs float64, reason string) error {
	from := r.offset
	for {
		r.skip(1)
		start, err := r.in.Peek(len(blockMagic) + 1)
		if err != nil {
			r.skip(len(start))
			r.addDamagedRange(from, afterMs, reason)
			return ErrTruncated
		}
		if bytes.Equal(start[:len(blockMagic)], []byte(blockMagic)) {
			r.addDamagedRange(from, afterMs, reason)
			return nil
		}
	}
}

// nextFormat1 returns the next record of a recording of format 1.
func (r *Reader) nextFormat1() (*recordpb.Record, error) {
	if _, err := r.in.Peek(1); err != nil {
		return nil, err
	}
	size, err := binary.ReadUvarint(r.in)
	if err != nil {
		return nil, truncated(err)
	}
	if size > maxRecordBytes {
		return nil, fmt.Errorf("record at byte %d: the length %d exceeds the limit %d", r.offset, size, maxRecordBytes)
	}
	body := make([]byte, 4+size)
	if _, err := io.ReadFull(r.in, body); err != nil {
		return nil, truncated(err)
	}
	if Checksum(body[4:]) != binary.LittleEndian.Uint32(body) {
		return nil, fmt.Errorf("record at byte %d: the checksum does not match", r.offset)
	}
	record := &recordpb.Record{}
	if err := proto.Unmarshal(body[4:], record); err != nil {
		return nil, fmt.Errorf("decoding the record at byte %d: %w", r.offset, err)
	}
	r.offset += int64(len(binary.AppendUvarint(nil, size))) + 4 + int64(size)
	return record, nil
}

// truncated returns ErrTruncated for an end of the input, and other errors as they are.
func truncated(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}
