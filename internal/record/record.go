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
	magic     = "BSAIL\x00\x00\x02"
	end       = "BSAILEND"
	headBytes = 24
	// A block is closed when it holds so many bytes, or earlier by Flush.
	blockBytes = 256 << 10
	// A record or block that claims more is damage.
	mostBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Sum is the checksum of a document.
func Checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// Writer writes a recording. It keeps the first error and writes nothing after it.
type Writer struct {
	out     io.Writer
	zip     *zstd.Encoder
	err     error
	at      int64
	block   []byte
	records int
	first   float64
	index   recordpb.Index
	buf     []byte
}

// NewWriter begins a recording on w.
func NewWriter(w io.Writer) *Writer {
	zip, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	x := &Writer{out: w, zip: zip, err: err}
	x.put([]byte(magic))
	return x
}

func (w *Writer) put(b []byte) {
	if w.err != nil {
		return
	}
	n, err := w.out.Write(b)
	if w.at += int64(n); err != nil {
		w.err = fmt.Errorf("writing the recording: %w", err)
	}
}

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
	if w.records == 0 {
		w.first = r.At
	}
	w.block = append(binary.AppendUvarint(w.block, uint64(len(body))), body...)
	if w.records++; len(w.block) >= blockBytes {
		return w.Flush()
	}
	return nil
}

// Flush writes the block that is open: what came before is then safe from the end of the process.
func (w *Writer) Flush() error {
	if w.records > 0 && w.err == nil {
		w.index.Blocks = append(w.index.Blocks, &recordpb.Block{Offset: w.at, First: w.first, Records: int32(w.records)})
		w.write('R', w.block, w.records, w.first)
		w.block, w.records = w.block[:0], 0
	}
	return w.err
}

func (w *Writer) write(kind byte, body []byte, records int, first float64) {
	packed := w.zip.EncodeAll(body, nil)
	head := make([]byte, 0, headBytes+len(packed))
	head = append(head, 0xB5, 'B', 'L', kind)
	head = binary.LittleEndian.AppendUint32(head, uint32(len(packed)))
	head = binary.LittleEndian.AppendUint32(head, uint32(records))
	head = binary.LittleEndian.AppendUint64(head, math.Float64bits(first))
	head = binary.LittleEndian.AppendUint32(head, Checksum(packed))
	w.put(append(head, packed...))
}

// Close ends the recording with its index. It does not close what it writes to.
func (w *Writer) Close() error {
	w.Flush()
	at := w.at
	body, err := proto.Marshal(&w.index)
	if err != nil {
		return fmt.Errorf("encoding the index: %w", err)
	}
	w.write('I', body, 0, 0)
	w.put(append(binary.LittleEndian.AppendUint64(nil, uint64(at)), end...))
	return w.err
}

// ErrTorn ends a recording whose last part is not whole.
var ErrTruncated = errors.New("the recording ends inside a record")

// unzip is shared: decoders are costly to make, and this one is safe for use from any goroutine.
var unzip = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(mostBytes))
})
