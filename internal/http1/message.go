// Package http1 is an HTTP/1.1 server and client on net/textproto over net, by RFC 9110 (semantics) and RFC
// 9112 (syntax and connections). It is made for many long polls: a held request costs a goroutine and no
// buffers. It serves whole bodies, no streams, no trailers, no upgrades.
package http1

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Limits bound what a peer may send.
type Limits struct {
	LineBytes   int // bytes of a request or status line, and of a field line
	HeaderBytes int // bytes of all field lines
	BodyBytes   int64
}

// Request that was read; the body has been read whole.
type Request struct {
	Method              string
	Target              string // as it was sent
	Path                string // decoded
	Query               url.Values
	Minor               int // of HTTP/1
	Header              textproto.MIMEHeader
	Body                []byte
	RemoteAddr          string
	Peer                Peer              // who sent it; nil on a plain connection
	ConnectionID        int64             // the number of its connection
	CredentialExpiresAt time.Time         // when what proves its sender ends before the connection's own proof; zero: it does not
	Params              map[string]string // of the route's path
	conn                *conn
	expects             bool
	length              int64 // of the body; -1: chunked
	close               bool
}

// Reply to a request. Content-Length, Date and Connection are added as it is written.
type Reply struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte
	Held   *HeldRequest // in place of all else: the reply comes later
	Close  bool         // end the connection after it
	Build  func() Reply // in place of all else: called by the connection's own goroutine before it is written
}

// Header makes a header from names and values in turn.
func Header(pairs ...string) textproto.MIMEHeader {
	h := textproto.MIMEHeader{}
	for i := 0; i+1 < len(pairs); i += 2 {
		h.Add(pairs[i], pairs[i+1])
	}
	return h
}

// Problem is an error document by RFC 9457. Field, an extension member, names what was wrong.
type Problem struct {
	Status int    `json:"status"`
	Title  string `json:"title"`
	Detail string `json:"detail,omitempty"`
	Field  string `json:"field,omitempty"`
}

// Reply makes the problem a reply; more header fields are given as names and values in turn.
func (p Problem) Reply(header ...string) Reply {
	if p.Title == "" {
		p.Title = reasons[p.Status]
	}
	body, _ := json.Marshal(p)
	h := Header(header...)
	h.Set("Content-Type", "application/problem+json")
	return Reply{Status: p.Status, Header: h, Body: append(body, '\n')}
}

// reasons are the reason phrases of the statuses in use.
var reasons = map[int]string{100: "Continue", 200: "OK", 204: "No Content", 226: "IM Used", 304: "Not Modified",
	400: "Bad Request", 401: "Unauthorized", 403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 414: "URI Too Long",
	415: "Unsupported Media Type", 417: "Expectation Failed", 422: "Unprocessable Content",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	501: "Not Implemented", 503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// fault is a malformed message, with the status that says so.
type fault struct {
	status int
	text   string
}

func (f *fault) Error() string { return f.text }

func bad(status int, format string, args ...any) error {
	return &fault{status, fmt.Sprintf(format, args...)}
}

// reader reads messages off a connection by lines.
type reader struct{ buf *bufio.Reader }

func newReader(r io.Reader) *reader {
	return &reader{bufio.NewReaderSize(r, 4096)}
}

// line reads a line of at most so many bytes. A bare CR is a fault, a bare LF ends a line (RFC 9112, 2.2).
func (r *reader) line(most, status int) (string, error) {
	var long []byte
	for {
		part, err := r.buf.ReadSlice('\n')
		if len(long)+len(part) > most+2 {
			return "", bad(status, "a line is longer than %d bytes", most)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, part...)
			continue
		}
		if err != nil {
			if len(long)+len(part) > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
		line := string(append(long, part...))
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		if strings.ContainsAny(line, "\r\x00") {
			return "", bad(400, "a line holds a bare CR or a NUL")
		}
		return line, nil
	}
}

// header reads field lines up to the empty line.
func (r *reader) header(l Limits) (textproto.MIMEHeader, error) {
	h, total := textproto.MIMEHeader{}, 0
	for {
		line, err := r.line(l.LineBytes, 431)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return h, nil
		}
		if total += len(line) + 2; total > l.HeaderBytes {
			return nil, bad(431, "the header is longer than %d bytes", l.HeaderBytes)
		}
		if line[0] == ' ' || line[0] == '\t' {
			return nil, bad(400, "obs-fold: a field line begins with white space")
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !token(name) {
			return nil, bad(400, "%.40q is no field line", line)
		}
		value = textproto.TrimString(value)
		for i := 0; i < len(value); i++ {
			if value[i] < ' ' && value[i] != '\t' || value[i] == 0x7f {
				return nil, bad(400, "the field %s holds a control character", name)
			}
		}
		h.Add(textproto.CanonicalMIMEHeaderKey(name), value)
	}
}

// token tells whether a text is a token by RFC 9110, 5.6.2.
func token(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9') &&
			strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

// list gives the members of a comma-separated field in lower case.
func list(h textproto.MIMEHeader, name string) []string {
	var all []string
	for _, v := range h.Values(name) {
		for _, m := range strings.Split(v, ",") {
			if m = strings.ToLower(textproto.TrimString(m)); m != "" {
				all = append(all, m)
			}
		}
	}
	return all
}

// framing gives the length of a body by its header, -1 where it is chunked (RFC 9112, 6.3).
func framing(h textproto.MIMEHeader) (int64, error) {
	codings, lengths := list(h, "Transfer-Encoding"), h.Values("Content-Length")
	if len(codings) > 0 {
		if len(lengths) > 0 {
			return 0, bad(400, "both Content-Length and Transfer-Encoding")
		}
		if len(codings) != 1 || codings[0] != "chunked" {
			return 0, bad(501, "a transfer coding other than chunked")
		}
		return -1, nil
	}
	length := int64(0)
	for i, v := range lengths {
		for j, part := range strings.Split(v, ",") {
			part = textproto.TrimString(part)
			n, err := strconv.ParseInt(part, 10, 64)
			if err != nil || part == "" || part[0] < '0' || part[0] > '9' {
				return 0, bad(400, "Content-Length: %.40q is no length", v)
			}
			if i+j > 0 && n != length {
				return 0, bad(400, "Content-Length is given twice, and differs")
			}
			length = n
		}
	}
	return length, nil
}

// body reads a body of a length, or of chunks, up to a limit.
func (r *reader) body(length int64, l Limits) ([]byte, error) {
	if length >= 0 {
		if length > l.BodyBytes {
			return nil, bad(413, "a body of %d bytes, %d at most", length, l.BodyBytes)
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(r.buf, body); err != nil {
			return nil, fmt.Errorf("reading the body: %w", err)
		}
		return body, nil
	}
	var body bytes.Buffer
	for {
		line, err := r.line(l.LineBytes, 400)
		if err != nil {
			return nil, fmt.Errorf("reading a chunk's size: %w", err)
		}
		digits, _, _ := strings.Cut(line, ";")
		digits = strings.TrimRight(digits, " \t")
		size, err := strconv.ParseUint(digits, 16, 63)
		if err != nil {
			return nil, bad(400, "%.40q is no chunk size", line)
		}
		if size == 0 {
			break
		}
		if int64(size) > l.BodyBytes-int64(body.Len()) {
			return nil, bad(413, "a body of more than %d bytes", l.BodyBytes)
		}
		if _, err := io.CopyN(&body, r.buf, int64(size)); err != nil {
			return nil, fmt.Errorf("reading a chunk: %w", err)
		}
		if end, err := r.line(2, 400); err != nil || end != "" {
			return nil, bad(400, "a chunk is longer than its size")
		}
	}
	if _, err := r.header(l); err != nil { // trailer, not used
		return nil, err
	}
	return body.Bytes(), nil
}

// methods that are known; others are not implemented (RFC 9110, 9.1).
var methods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true,
	"OPTIONS": true, "TRACE": true, "CONNECT": true}

// request reads a request up to its body.
func (r *reader) request(l Limits) (*Request, error) {
	line, err := r.line(l.LineBytes, 414)
	for range 3 { // empty lines before a request are passed over (RFC 9112, 2.2)
		if err == nil && line == "" {
			line, err = r.line(l.LineBytes, 414)
		}
	}
	if err != nil {
		return nil, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !token(parts[0]) {
		return nil, bad(400, "%.60q is no request line", line)
	}
	q := &Request{Method: parts[0], Target: parts[1]}
	version, ok := strings.CutPrefix(parts[2], "HTTP/")
	if !ok || len(version) != 3 || version[1] != '.' || version[0] < '0' || version[0] > '9' || version[2] < '0' || version[2] > '9' {
		return nil, bad(400, "%.20q is no HTTP version", parts[2])
	}
	if version[0] != '1' {
		return nil, bad(505, "only HTTP/1.1 is spoken here")
	}
	q.Minor = int(version[2] - '0')
	if !methods[q.Method] {
		return nil, bad(501, "the method %.20q is not known", q.Method)
	}
	if q.Header, err = r.header(l); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if hosts := q.Header.Values("Host"); len(hosts) > 1 || len(hosts) == 0 && q.Minor > 0 {
		return nil, bad(400, "a request has one Host field, not %d", len(hosts))
	} else if len(hosts) == 1 && strings.ContainsAny(hosts[0], " \t/@,") {
		return nil, bad(400, "Host: %.40q is no host", hosts[0])
	}
	if err := q.locate(); err != nil {
		return nil, err
	}
	if q.length, err = framing(q.Header); err != nil {
		return nil, err
	}
	if q.length < 0 && q.Minor == 0 {
		return nil, bad(400, "Transfer-Encoding in an HTTP/1.0 request")
	}
	options := list(q.Header, "Connection")
	q.close = q.Minor == 0
	for _, o := range options {
		q.close = o == "close" || q.close && o != "keep-alive"
		if o == "close" {
			break
		}
	}
	for _, e := range list(q.Header, "Expect") {
		if e != "100-continue" {
			return nil, bad(417, "the expectation %.40q is not known", e)
		}
		q.expects = q.Minor > 0
	}
	return q, nil
}

// locate takes the target apart: origin-form, absolute-form, or * for OPTIONS.
func (q *Request) locate() error {
	target := q.Target
	if q.Method == "OPTIONS" && target == "*" {
		q.Path = "*"
		return nil
	}
	if !strings.HasPrefix(target, "/") {
		u, err := url.Parse(target)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return bad(400, "%.60q is no target of a request", target)
		}
		target = u.RequestURI()
	}
	for i := 0; i < len(target); i++ {
		if target[i] <= ' ' || target[i] >= 0x7f {
			return bad(400, "%.60q is no target of a request", target)
		}
	}
	path, query, _ := strings.Cut(target, "?")
	var err error
	if q.Path, err = url.PathUnescape(path); err != nil {
		return bad(400, "%.60q is no path", path)
	}
	if q.Query, err = url.ParseQuery(query); err != nil {
		return bad(400, "%.60q is no query", query)
	}
	return nil
}
