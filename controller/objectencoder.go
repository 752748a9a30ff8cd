package controller

import (
	"encoding/json"
	"strconv"
)

// emptyObject is the JSON object without members.
const emptyObject = "{}"

// objectEncoder appends a JSON object to out, its members in the order of the calls. Tables are encoded by it rather
// than by encoding/json since the order of their members has to stay that of the classes and hosts.
type objectEncoder struct {
	out     []byte
	members int
}

// newObjectEncoder begins an object.
func newObjectEncoder(out []byte) objectEncoder { return objectEncoder{out: append(out, '{')} }

// key begins a member; its value is appended to out next.
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

// end closes the object and returns out with it.
func (e *objectEncoder) end() []byte { return append(e.out, '}') }

// appendQuoted appends a JSON string.
func appendQuoted(out []byte, text string) []byte {
	quoted, _ := json.Marshal(text) // encoding a string cannot fail
	return append(out, quoted...)
}
