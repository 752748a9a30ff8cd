// Package record writes and reads recordings: every input of a steward with its time, and what it published.
//
// Format 2: the eight bytes "BSAIL\x00\x00\x02", then blocks. A block is the four bytes
// 0xB5 'B' 'L' kind, the length of what follows after compression and its number of records (uint32 each), the
// time of its first record (float64), the CRC-32C of the compressed bytes, and those: Zstandard over records, each
// as its length (varint) and its protobuf bytes. All figures are little endian. A recording that was ended cleanly
// closes with a block of kind 'I', a recordpb.Index, and the offset of that block (uint64) with "BSAILEND". What is
// torn or damaged is a block, so a reader can name it and go on behind it.
//
// Format 3 has the same blocks; from it on a proxy's start tells when it shuns hosts and what it repeats.
//
// In format 4 sums may carry their sender's stamp and how times spread, and hosts' own load reports are inputs. Stewards of
// earlier formats took load reports as they came; their replays do so too.
//
// Format 1, still read, has no first bytes and no blocks: each record is its length, its CRC-32C and its bytes.
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

// Format is the number of the format written, as recordings' starts tell it.
const Format = 4

const (
	magic            = "BSAIL\x00\x00\x02"
	endMagic         = "BSAILEND"
	blockHeaderBytes = 24
	// A block is closed when it holds so many bytes, or earlier by Flush.
	maxBlockBytes = 256 << 10
	// A record or block that claims more is damage.
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Sum is the checksum of a document.
func Checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// Writer writes a recording. It keeps the first error and writes nothing after it.
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

// NewWriter begins a recording on w.
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

// Flush writes the block that is open: what came before is then safe from the end of the process.
func (w *Writer) Flush() error {
	if w.records > 0 && w.err == nil {
		w.index.Blocks = append(w.index.Blocks, &recordpb.Block{Offset: w.offset, First: w.blockStartMs, Records: int32(w.records)})
		w.writeBlock('R', w.block, w.records, w.blockStartMs)
		w.block, w.records = w.block[:0], 0
	}
	return w.err
}

func (w *Writer) writeBlock(kind byte, body []byte, records int, startMs float64) {
	compressed := w.encoder.EncodeAll(body, nil)
	block := make([]byte, 0, blockHeaderBytes+len(compressed))
	block = append(block, 0xB5, 'B', 'L', kind)
	block = binary.LittleEndian.AppendUint32(block, uint32(len(compressed)))
	block = binary.LittleEndian.AppendUint32(block, uint32(records))
	block = binary.LittleEndian.AppendUint64(block, math.Float64bits(startMs))
	block = binary.LittleEndian.AppendUint32(block, Checksum(compressed))
	w.writeBytes(append(block, compressed...))
}

// Close ends the recording with its index. It does not close what it writes to.
func (w *Writer) Close() error {
	w.Flush()
	indexOffset := w.offset
	body, err := proto.Marshal(&w.index)
	if err != nil {
		return fmt.Errorf("encoding the index: %w", err)
	}
	w.writeBlock('I', body, 0, 0)
	w.writeBytes(append(binary.LittleEndian.AppendUint64(nil, uint64(indexOffset)), endMagic...))
	return w.err
}

// ErrTorn ends a recording whose last part is not whole.
var ErrTruncated = errors.New("the recording ends inside a record")

// unzip is shared: decoders are costly to make, and this one is safe for use from any goroutine.
var sharedDecoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxRecordBytes))
})
