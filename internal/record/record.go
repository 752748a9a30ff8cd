// Package record writes and reads recordings: the inputs of a controller with their times, and the responses that it
// published; and the requests and applied table versions of a proxy.
//
// Format 2 begins with the eight bytes "BSAIL\x00\x00\x02", followed by blocks. A block consists of the four bytes 0xB5
// 'B' 'L' kind, the compressed length and the number of records (uint32 each), the time of the first record (float64),
// the CRC-32C of the compressed bytes, and these: Zstandard-compressed records, each with its length (varint) before
// its protobuf bytes. All numbers are little endian. A recording that was closed ends with a block of kind 'I', which
// holds a recordpb.Index, the offset of that block (uint64) and "BSAILEND". If a block is damaged, the reader reports
// it and continues after it.
//
// Format 3 has the same blocks. From it on the start record of a proxy has its ejection settings and idempotent
// classes.
//
// In format 4 the stats of a proxy may have the sender's time and latency buckets, and the load reports of hosts are
// inputs. Controllers of earlier formats applied load reports in the order of arrival, and so do their replays.
//
// Format 1 can still be read. It has no magic and no blocks: each record consists of its length, its CRC-32C and its
// protobuf bytes.
package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math"
	"sync"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"barleysail/internal/record/recordpb"
)

// Format is the number of the format that is written. It is stored in start records.
const Format = 4

const (
	magic            = "BSAIL\x00\x00\x02"
	endMagic         = "BSAILEND"
	blockMagic       = "\xB5BL"
	recordsKind      = 'R' // kind of a block of records
	indexKind        = 'I' // kind of the block with the index
	blockHeaderBytes = 24
	// maxBlockBytes is the size from which a block is written without a call of Flush.
	maxBlockBytes = 256 << 10
	// maxRecordBytes is the limit of a record's or block's size; a larger size is taken for damage.
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of a document.
func Checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// Writer writes a recording. After the first error it writes nothing more and returns that error.
type Writer struct {
	out          io.Writer
	encoder      *zstd.Encoder
	err          error
	offset       int64
	block        []byte
	records      int
	blockStartMs float64
	index        recordpb.Index
	buffer       []byte
}

// NewWriter starts a recording.
func NewWriter(out io.Writer) *Writer {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	w := &Writer{out: out, encoder: encoder, err: err}
	w.writeBytes([]byte(magic))
	return w
}

func (w *Writer) writeBytes(data []byte) {
	if w.err != nil {
		return
	}
	written, err := w.out.Write(data)
	if w.offset += int64(written); err != nil {
		w.err = fmt.Errorf("writing the recording: %w", err)
	}
}

// Write adds a record.
func (w *Writer) Write(record *recordpb.Record) error {
	if w.err != nil {
		return w.err
	}
	body, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(w.buffer[:0], record)
	if err != nil {
		w.err = fmt.Errorf("encoding a record: %w", err)
		return w.err
	}
	w.buffer = body
	if w.records == 0 {
		w.blockStartMs = record.At
	}
	w.block = append(binary.AppendUvarint(w.block, uint64(len(body))), body...)
	if w.records++; len(w.block) >= maxBlockBytes {
		return w.Flush()
	}
	return nil
}

// Flush writes the open block, so that the records before it survive the end of the process.
func (w *Writer) Flush() error {
	if w.records > 0 && w.err == nil {
		block := &recordpb.Block{Offset: w.offset, First: w.blockStartMs, Records: int32(w.records)}
		w.index.Blocks = append(w.index.Blocks, block)
		w.writeBlock(recordsKind, w.block, w.records, w.blockStartMs)
		w.block, w.records = w.block[:0], 0
	}
	return w.err
}

func (w *Writer) writeBlock(kind byte, body []byte, records int, startMs float64) {
	compressed := w.encoder.EncodeAll(body, nil)
	block := make([]byte, 0, blockHeaderBytes+len(compressed))
	block = append(block, blockMagic...)
	block = append(block, kind)
	block = binary.LittleEndian.AppendUint32(block, uint32(len(compressed)))
	block = binary.LittleEndian.AppendUint32(block, uint32(records))
	block = binary.LittleEndian.AppendUint64(block, math.Float64bits(startMs))
	block = binary.LittleEndian.AppendUint32(block, Checksum(compressed))
	w.writeBytes(append(block, compressed...))
}

// Close writes the index. It does not close the underlying writer.
func (w *Writer) Close() error {
	_ = w.Flush() // the error is kept in w.err
	indexOffset := w.offset
	body, err := proto.Marshal(&w.index)
	if err != nil {
		return fmt.Errorf("encoding the index: %w", err)
	}
	w.writeBlock(indexKind, body, 0, 0)
	w.writeBytes(append(binary.LittleEndian.AppendUint64(nil, uint64(indexOffset)), endMagic...))
	return w.err
}

// ErrTruncated is the error of a recording that ends inside a record or block.
var ErrTruncated = errors.New("the recording ends inside a record")

// sharedDecoder returns the decoder of all readers: decoders are expensive to create and safe for concurrent use.
var sharedDecoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxRecordBytes))
})
