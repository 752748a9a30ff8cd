package controller

import (
	"encoding/json"
	"strconv"
)

// emptyObject is the JSON object without members.
const emptyObject = "{}"

// objectEncoder appends a JSON object to out, with its members in the order of the calls. Tables are encoded by it and
// not by encoding/json, since their members have to be in the order of the classes and hosts.
type objectEncoder struct {
	out     []byte
	members int
}

// newObjectEncoder appends the start of an object to out.
func newObjectEncoder(out []byte) objectEncoder { return objectEncoder{out: append(out, '{')} }

// key appends the name of a member. The caller has to append its value to out.
func (e *objectEncoder) key(name string) {
	if e.members > 0 {
		e.out = append(e.out, ',')
	}
	e.members++
	e.out = append(appendQuoted(e.out, name), ':')
}

func (e *objectEncoder) number(name string, value float64) {
	e.key(name)
	e.out = strconv.AppendFloat(e.out, value, 'g', -1, 64)
}

func (e *objectEncoder) integer(name string, value int) {
	e.key(name)
	e.out = strconv.AppendInt(e.out, int64(value), 10)
}

func (e *objectEncoder) null(name string) {
	e.key(name)
	e.out = append(e.out, "null"...)
}

// end appends the end of the object and returns the bytes.
func (e *objectEncoder) end() []byte { return append(e.out, '}') }

// appendQuoted appends a JSON string.
func appendQuoted(out []byte, text string) []byte {
	quoted, _ := json.Marshal(text) // encoding a string cannot fail
	return append(out, quoted...)
}
