package statefile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"barleysail/state"
)

const (
	magic             = "BSTATE\x00" // followed by the kind of the file
	headerBytes       = 16           // size of a file's header: magic, kind, major and minor version
	recordHeaderBytes = 8            // size of a record's header: length and checksum of the body

	// maxRecordBytes is far above the size limit of any state, so a record with a greater length is damaged.
	maxRecordBytes = 256 << 20
)

// Reasons why a file, or the rest of it, cannot be used.
var (
	ErrNewer           = errors.New("written by a newer program") // the major format version is not known here
	ErrTruncatedHeader = errors.New("truncated header")
	ErrWrongMagic      = errors.New("not a state file of this kind") // or the kind is not that of the file name
	ErrTruncatedRecord = errors.New("truncated record")
	ErrChecksum        = errors.New("checksum mismatch")
	ErrTrailingData    = errors.New("data after the only record")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func encodeHeader(kind fileKind) []byte {
	header := append([]byte(magic), byte(kind))
	header = binary.LittleEndian.AppendUint32(header, state.FormatMajor)
	return binary.LittleEndian.AppendUint32(header, state.FormatMinor)
}

// decodeHeader checks the header of a file and returns the records that follow it.
func decodeHeader(content []byte, kind fileKind) (records []byte, err error) {
	if len(content) < headerBytes {
		return nil, ErrTruncatedHeader
	}
	kindAt := len(magic)
	if string(content[:kindAt]) != magic || content[kindAt] != byte(kind) {
		return nil, ErrWrongMagic
	}
	major := binary.LittleEndian.Uint32(content[kindAt+1:])
	if err := checkMajorVersion(int64(major)); err != nil {
		return nil, err
	}
	return content[headerBytes:], nil
}

func checkMajorVersion(major int64) error {
	if major > state.FormatMajor {
		return fmt.Errorf("format %d, the newest known here is %d: %w", major, state.FormatMajor, ErrNewer)
	}
	return nil
}

// checksum returns the CRC-32C of the generation (uint64, little endian) and the body. The generation makes a reader
// reject a record that the disk returns from a file of another generation.
func checksum(body []byte, generation uint64) uint32 {
	generationSum := crc32.Checksum(binary.LittleEndian.AppendUint64(nil, generation), castagnoli)
	return crc32.Update(generationSum, castagnoli, body)
}

func encodeRecord(body []byte, generation uint64) []byte {
	record := make([]byte, 0, recordHeaderBytes+len(body))
	record = binary.LittleEndian.AppendUint32(record, uint32(len(body)))
	record = binary.LittleEndian.AppendUint32(record, checksum(body, generation))
	return append(record, body...)
}

// decodeRecord returns the body of the first record, and the records that follow it.
func decodeRecord(records []byte, generation uint64) (body, rest []byte, err error) {
	if len(records) < recordHeaderBytes {
		return nil, nil, ErrTruncatedRecord
	}
	length := binary.LittleEndian.Uint32(records)
	wantChecksum := binary.LittleEndian.Uint32(records[4:])
	content := records[recordHeaderBytes:]
	if length > maxRecordBytes || int(length) > len(content) {
		return nil, nil, ErrTruncatedRecord
	}
	body = content[:length]
	if checksum(body, generation) != wantChecksum {
		return nil, nil, ErrChecksum
	}
	return body, content[length:], nil
}
