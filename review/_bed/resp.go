package main

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// encode returns a message as a RESP2 array of bulk strings.
func encode(words ...string) []byte {
	var text strings.Builder
	text.WriteString("*" + strconv.Itoa(len(words)) + "\r\n")
	for _, word := range words {
		text.WriteString("$" + strconv.Itoa(len(word)) + "\r\n" + word + "\r\n")
	}
	return []byte(text.String())
}

// decoder reads messages.
type decoder struct{ reader *bufio.Reader }

func newDecoder(source io.Reader) *decoder { return &decoder{bufio.NewReader(source)} }

var errNotRESP = errors.New("not a message")

func (d *decoder) length(prefix byte) (int, error) {
	line, err := d.reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != prefix {
		return 0, errNotRESP
	}
	number, err := strconv.Atoi(strings.TrimSuffix(line[1:], "\r\n"))
	if err != nil || number < 0 || number > 1<<20 {
		return 0, errNotRESP
	}
	return number, nil
}

// read reads a message.
func (d *decoder) read() ([]string, error) {
	count, err := d.length('*')
	if err != nil {
		return nil, err
	}
	var words []string
	for range count {
		size, err := d.length('$')
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(d.reader, word); err != nil {
			return nil, err
		}
		words = append(words, string(word[:size]))
	}
	return words, nil
}
