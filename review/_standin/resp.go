package main

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// readMessage reads one RESP2 array of bulk strings.
func readMessage(r *bufio.Reader) ([]string, error) {
	count, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, count)
	for i := range words {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, err
		}
		body := make([]byte, size+2)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, err
		}
		words[i] = string(body[:size])
	}
	return words, nil
}

func readLength(r *bufio.Reader, prefix byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != prefix {
		return 0, fmt.Errorf("unexpected line %.20q", line)
	}
	return strconv.Atoi(line[1:])
}

// message encodes a RESP2 array of bulk strings.
func message(words ...string) []byte {
	out := []byte(fmt.Sprintf("*%d\r\n", len(words)))
	for _, word := range words {
		out = append(out, fmt.Sprintf("$%d\r\n%s\r\n", len(word), word)...)
	}
	return out
}

// fields returns the names and values that follow a message's kind.
func fields(words []string) map[string]string {
	values := map[string]string{}
	for i := 1; i+1 < len(words); i += 2 {
		values[words[i]] = words[i+1]
	}
	return values
}
