package statefile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"barleysail/state"
)

const (
	magic     = "BSTATE\x00"
	headBytes = 16 // of a file
	markBytes = 8  // of a record
	stay      = 2  // generations
	leastLog  = 64 << 10
	mostBytes = 256 << 20 // a record that claims more is damage
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func file(kind byte, gen uint64) string {
	if kind == 'S' {
		return fmt.Sprintf("snapshot-%08d", gen)
	}
	return fmt.Sprintf("log-%08d", gen)
}

func parse(name string) (kind byte, gen uint64, ok bool) {
	word, number, _ := strings.Cut(name, "-")
	gen, err := strconv.ParseUint(number, 10, 64)
	switch {
	case err != nil:
	case word == "snapshot":
		return 'S', gen, true
	case word == "log":
		return 'L', gen, true
	}
	return 0, 0, false
}

// ErrNewer says that a file is of a newer major format.
var ErrNewer = errors.New("it is of a newer program")

// head checks the first bytes of a file.
func head(text []byte, kind byte) (rest []byte, err error) {
	if len(text) < headBytes {
		return nil, errors.New("it ends in its first bytes")
	}
	if string(text[:7]) != magic || text[7] != kind {
		return nil, errors.New("it is no such file")
	}
	if major := binary.LittleEndian.Uint32(text[8:]); major > state.FormatMajor {
		return nil, fmt.Errorf("format %d, %d is the newest known here: %w", major, state.FormatMajor, ErrNewer)
	}
	return text[headBytes:], nil
}

// sum is a body's checksum in a generation: a record of another file's is none here.
func sum(body []byte, gen uint64) uint32 {
	return crc32.Update(crc32.Checksum(binary.LittleEndian.AppendUint64(nil, gen), castagnoli), castagnoli, body)
}

func record(text []byte, gen uint64) (body, rest []byte, err error) {
	if len(text) < markBytes {
		return nil, nil, errors.New("it ends inside a record")
	}
	n, want := binary.LittleEndian.Uint32(text), binary.LittleEndian.Uint32(text[4:])
	if n > mostBytes || int(n) > len(text)-markBytes {
		return nil, nil, errors.New("it ends inside a record")
	}
	if body = text[markBytes : markBytes+int(n)]; sum(body, gen) != want {
		return nil, nil, errors.New("a checksum does not fit")
	}
	return body, text[markBytes+int(n):], nil
}

func mark(body []byte, gen uint64) []byte {
	return binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(nil, uint32(len(body))), sum(body, gen))
}

func first(kind byte) []byte {
	b := append([]byte(magic), kind)
	return binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(b, state.FormatMajor), state.FormatMinor)
}
