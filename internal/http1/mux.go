package http1

import (
	"net/textproto"
	"net/url"
	"sort"
	"strings"
)

// Route is what serves a method at a path. Media lists the media types its body may have; none: no body is
// looked at.
type Route struct {
	Handler      func(*Request) Reply
	MediaTypes   []string
	MaxBodyBytes int64 // 0: the server's limit
}

// Mux finds routes by path; a part in braces stands for any one part.
type Mux struct{ paths []path }

type path struct {
	parts  []string
	routes map[string]Route
}

// Handle serves a method at a pattern such as /v1/proxies/{proxy}/tables. GET serves HEAD too.
func (m *Mux) Handle(method, pattern string, r Route) {
	parts := strings.Split(pattern, "/")
	for i := range m.paths {
		if strings.Join(m.paths[i].parts, "/") == pattern {
			m.paths[i].routes[method] = r
			return
		}
	}
	m.paths = append(m.paths, path{parts, map[string]Route{method: r}})
}

// find gives the route of a request, or the reply that says why there is none.
func (m *Mux) find(q *Request) (Route, *Reply) {
	for _, p := range m.paths {
		params, ok := p.match(q)
		if !ok {
			continue
		}
		method := q.Method
		if _, own := p.routes[method]; method == "HEAD" && !own {
			method = "GET"
		}
		if r, ok := p.routes[method]; ok {
			q.Params = params
			return r, nil
		}
		return Route{}, p.refuse(q.Method)
	}
	if q.Path == "*" {
		return Route{}, &Reply{Status: 204, Header: Header("Allow", "GET, HEAD, POST, DELETE, OPTIONS")}
	}
	r := Problem{Status: 404, Detail: "nothing is at this path"}.Reply()
	return Route{}, &r
}

func (p *path) match(q *Request) (map[string]string, bool) {
	// The path is split before it is decoded, so that a slash in a name stays in the name.
	raw, _, _ := strings.Cut(q.Target, "?")
	if at := strings.Index(raw, "://"); at >= 0 {
		if slash := strings.IndexByte(raw[at+3:], '/'); slash >= 0 {
			raw = raw[at+3+slash:]
		}
	}
	parts := strings.Split(raw, "/")
	if len(parts) != len(p.parts) {
		return nil, false
	}
	params := map[string]string{}
	for i, want := range p.parts {
		got, err := url.PathUnescape(parts[i])
		if err != nil {
			return nil, false
		}
		if strings.HasPrefix(want, "{") {
			params[strings.Trim(want, "{}")] = got
		} else if got != want {
			return nil, false
		}
	}
	return params, true
}

func (p *path) refuse(method string) *Reply {
	var allow []string
	for m := range p.routes {
		if allow = append(allow, m); m == "GET" {
			allow = append(allow, "HEAD")
		}
	}
	allow = append(allow, "OPTIONS")
	sort.Strings(allow)
	fields := strings.Join(allow, ", ")
	if method == "OPTIONS" {
		return &Reply{Status: 204, Header: Header("Allow", fields)}
	}
	r := Problem{Status: 405, Detail: "the path does not serve " + method}.Reply("Allow", fields)
	return &r
}

// mediaOf gives the media type of a body without its parameters.
func mediaOf(h textproto.MIMEHeader) string {
	media, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(textproto.TrimString(media))
}
