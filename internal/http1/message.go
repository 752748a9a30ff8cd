// Package http1 is an HTTP/1.1 server and client that uses net and net/textproto, as in RFC 9110 (semantics) and RFC
// 9112 (syntax and connections). It is made for many long polls: a held request costs a goroutine and no buffers. It
// reads and writes whole bodies, and does not support streaming, trailers and protocol upgrades.
package http1

import (
	"bufio"
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

// bufferBytes is the size of a connection's read buffer and write buffer.
const bufferBytes = 4096

// chunkedBody is the length of a body that is sent in chunks.
const chunkedBody = -1

// maxLeadingEmptyLines is the number of empty lines that are skipped before a request (RFC 9112, section 2.2).
const maxLeadingEmptyLines = 3

// Limits are the maximum sizes of what a peer may send.
type Limits struct {
	LineBytes   int // of the request or status line, and of each field line
	HeaderBytes int // of all field lines together
	BodyBytes   int64
}

// Request is a request that was received, with its whole body.
type Request struct {
	Method       string
	Target       string // as it was sent
	Path         string // decoded
	Query        url.Values
	Minor        int // minor version of HTTP/1
	Header       textproto.MIMEHeader
	Body         []byte
	RemoteAddr   string            // network address of the sender
	Peer         Peer              // the authenticated sender; nil on a plain connection
	ConnectionID int64             // unique in the server
	Params       map[string]string // parameters of the route's path

	// CredentialExpiresAt is set by a handler that authenticates the sender by a credential of the request, such as a
	// token; zero: none. HoldDeadline takes it into account.
	CredentialExpiresAt time.Time

	conn            *conn
	expectsContinue bool  // the sender waits for 100 Continue before it sends the body
	bodyLength      int64 // as in the function bodyLength
	close           bool  // the connection ends after the reply
}

// Reply is the reply to a request. The server adds Content-Length, Date and Connection.
type Reply struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte
	Close  bool // end the connection after the reply

	Held  *HeldRequest // if not nil, the reply comes later, by HeldRequest.Answer; the other fields are ignored
	Build func() Reply // if not nil, the connection's goroutine calls it for the reply; the other fields are ignored
}

// Header returns a header with the given fields: names and values in turn.
func Header(pairs ...string) textproto.MIMEHeader {
	h := textproto.MIMEHeader{}
	for i := 0; i+1 < len(pairs); i += 2 {
		h.Add(pairs[i], pairs[i+1])
	}
	return h
}

// Problem is a problem document (RFC 9457). Field is an extension member: the invalid field of the request's document.
type Problem struct {
	Status int    `json:"status"`
	Title  string `json:"title"`
	Detail string `json:"detail,omitempty"`
	Field  string `json:"field,omitempty"`
}

// Reply returns a reply with the problem document and further header fields, given as names and values in turn.
func (p Problem) Reply(fields ...string) Reply {
	if p.Title == "" {
		p.Title = reasonPhrases[p.Status]
	}
	body, _ := json.Marshal(p)
	header := Header(fields...)
	header.Set("Content-Type", "application/problem+json")
	return Reply{Status: p.Status, Header: header, Body: append(body, '\n')}
}

// reasonPhrases are the reason phrases of the status codes in use.
var reasonPhrases = map[int]string{100: "Continue", 200: "OK", 204: "No Content", 226: "IM Used", 304: "Not Modified",
	400: "Bad Request", 401: "Unauthorized", 403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 414: "URI Too Long",
	415: "Unsupported Media Type", 417: "Expectation Failed", 422: "Unprocessable Content",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	501: "Not Implemented", 503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// messageError is the error of a message that is malformed, too large or not supported, with the status code of the
// reply. The text is sent to the peer.
type messageError struct {
	status int
	text   string
}

func (e *messageError) Error() string { return e.text }

func invalidMessage(status int, format string, args ...any) error {
	return &messageError{status, fmt.Sprintf(format, args...)}
}

// messageReader reads messages from a connection.
type messageReader struct {
	buf    *bufio.Reader
	memory *requestMemory // nil: memory is not bounded
}

func newMessageReader(r io.Reader) *messageReader {
	return &messageReader{buf: bufio.NewReaderSize(r, bufferBytes)}
}

// readLine reads a line of at most maxBytes. A longer one is an error with the status code tooLongStatus. A bare LF
// ends a line and a bare CR is an error (RFC 9112, section 2.2).
func (r *messageReader) readLine(maxBytes, tooLongStatus int) (string, error) {
	var prefix []byte // of a line that is longer than the buffer
	for {
		part, err := r.buf.ReadSlice('\n')
		if len(prefix)+len(part) > maxBytes+2 {
			return "", invalidMessage(tooLongStatus, "a line is longer than %d bytes", maxBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			prefix = append(prefix, part...)
			continue
		}
		if err != nil {
			if len(prefix)+len(part) > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
		line := string(append(prefix, part...))
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		if strings.ContainsAny(line, "\r\x00") {
			return "", invalidMessage(400, "a line holds a bare CR or a NUL")
		}
		return line, nil
	}
}

// readHeader reads field lines up to and including the empty line.
func (r *messageReader) readHeader(limits Limits) (textproto.MIMEHeader, error) {
	header, total := textproto.MIMEHeader{}, 0
	for fields := 0; ; fields++ {
		line, err := r.readLine(limits.LineBytes, 431)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return header, nil
		}
		if total += len(line) + 2; total > limits.HeaderBytes {
			return nil, invalidMessage(431, "the header is longer than %d bytes", limits.HeaderBytes)
		}
		if fields == maxHeaderFields {
			return nil, invalidMessage(431, "the header has more than %d fields", maxHeaderFields)
		}
		if err := r.memory.reserve(len(line) + headerFieldOverhead); err != nil {
			return nil, err
		}
		if line[0] == ' ' || line[0] == '\t' {
			return nil, invalidMessage(400, "obs-fold: a field line begins with white space")
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return nil, invalidMessage(400, "%.40q is no field line", line)
		}
		value = textproto.TrimString(value)
		for i := 0; i < len(value); i++ {
			if value[i] < ' ' && value[i] != '\t' || value[i] == 0x7f {
				return nil, invalidMessage(400, "the field %s holds a control character", name)
			}
		}
		header.Add(textproto.CanonicalMIMEHeaderKey(name), value)
	}
}

// isToken reports whether a text is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9') &&
			strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

// listMembers returns the members of a comma-separated field, in lower case.
func listMembers(header textproto.MIMEHeader, name string) []string {
	var members []string
	for _, value := range header.Values(name) {
		for _, member := range strings.Split(value, ",") {
			if member = strings.ToLower(textproto.TrimString(member)); member != "" {
				members = append(members, member)
			}
		}
	}
	return members
}

// bodyLength returns the length of a message's body by its header, chunkedBody for a chunked one (RFC 9112, section
// 6.3).
func bodyLength(header textproto.MIMEHeader) (int64, error) {
	codings, lengths := listMembers(header, "Transfer-Encoding"), header.Values("Content-Length")
	if len(codings) > 0 {
		if len(lengths) > 0 {
			return 0, invalidMessage(400, "both Content-Length and Transfer-Encoding")
		}
		if len(codings) != 1 || codings[0] != "chunked" {
			return 0, invalidMessage(501, "a transfer coding other than chunked")
		}
		return chunkedBody, nil
	}
	length := int64(0)
	for i, value := range lengths {
		for j, part := range strings.Split(value, ",") {
			part = textproto.TrimString(part)
			n, err := strconv.ParseInt(part, 10, 64)
			if err != nil || part == "" || part[0] < '0' || part[0] > '9' {
				return 0, invalidMessage(400, "Content-Length: %.40q is no length", value)
			}
			if i+j > 0 && n != length {
				return 0, invalidMessage(400, "Content-Length is given twice, and differs")
			}
			length = n
		}
	}
	return length, nil
}

// knownMethods are the standard methods; others get 501 Not Implemented (RFC 9110, section 9.1).
var knownMethods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true,
	"OPTIONS": true, "TRACE": true, "CONNECT": true}

// readRequest reads a request without its body.
func (r *messageReader) readRequest(limits Limits) (*Request, error) {
	line, err := r.readLine(limits.LineBytes, 414)
	for range maxLeadingEmptyLines {
		if err == nil && line == "" {
			line, err = r.readLine(limits.LineBytes, 414)
		}
	}
	if err != nil {
		return nil, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) {
		return nil, invalidMessage(400, "%.60q is no request line", line)
	}
	request := &Request{Method: parts[0], Target: parts[1]}
	version, ok := strings.CutPrefix(parts[2], "HTTP/")
	if !ok || len(version) != 3 || version[1] != '.' ||
		version[0] < '0' || version[0] > '9' || version[2] < '0' || version[2] > '9' {
		return nil, invalidMessage(400, "%.20q is no HTTP version", parts[2])
	}
	if version[0] != '1' {
		return nil, invalidMessage(505, "only HTTP/1.1 is spoken here")
	}
	request.Minor = int(version[2] - '0')
	if !knownMethods[request.Method] {
		return nil, invalidMessage(501, "the method %.20q is not known", request.Method)
	}
	if request.Header, err = r.readHeader(limits); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if hosts := request.Header.Values("Host"); len(hosts) > 1 || len(hosts) == 0 && request.Minor > 0 {
		return nil, invalidMessage(400, "a request has one Host field, not %d", len(hosts))
	} else if len(hosts) == 1 && strings.ContainsAny(hosts[0], " \t/@,") {
		return nil, invalidMessage(400, "Host: %.40q is no host", hosts[0])
	}
	if err := request.parseTarget(); err != nil {
		return nil, err
	}
	if request.bodyLength, err = bodyLength(request.Header); err != nil {
		return nil, err
	}
	if request.bodyLength < 0 && request.Minor == 0 {
		return nil, invalidMessage(400, "Transfer-Encoding in an HTTP/1.0 request")
	}
	options := listMembers(request.Header, "Connection")
	request.close = request.Minor == 0
	for _, option := range options {
		request.close = option == "close" || request.close && option != "keep-alive"
		if option == "close" {
			break
		}
	}
	for _, expectation := range listMembers(request.Header, "Expect") {
		if expectation != "100-continue" {
			return nil, invalidMessage(417, "the expectation %.40q is not known", expectation)
		}
		request.expectsContinue = request.Minor > 0
	}
	return request, nil
}

// parseTarget sets the path and the query by the request target: in origin-form or absolute-form, or * for OPTIONS.
func (r *Request) parseTarget() error {
	target := r.Target
	if r.Method == "OPTIONS" && target == "*" {
		r.Path = "*"
		return nil
	}
	if !strings.HasPrefix(target, "/") {
		parsed, err := url.Parse(target)
		if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
			return invalidMessage(400, "%.60q is no target of a request", target)
		}
		target = parsed.RequestURI()
	}
	for i := 0; i < len(target); i++ {
		if target[i] <= ' ' || target[i] >= 0x7f {
			return invalidMessage(400, "%.60q is no target of a request", target)
		}
	}
	path, query, _ := strings.Cut(target, "?")
	var err error
	if r.Path, err = url.PathUnescape(path); err != nil {
		return invalidMessage(400, "%.60q is no path", path)
	}
	if r.Query, err = url.ParseQuery(query); err != nil {
		return invalidMessage(400, "%.60q is no query", query)
	}
	return nil
}
