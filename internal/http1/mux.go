package http1

import (
	"net/textproto"
	"net/url"
	"sort"
	"strings"
)

// Route handles the requests of one method at one path.
type Route struct {
	Handler      func(*Request) Reply
	MediaTypes   []string // media types that the body may have; none: not checked
	MaxBodyBytes int64    // 0: the server's limit
}

// Mux finds the route of a request by its path and method.
type Mux struct{ paths []pathRoutes }

// pathRoutes are the routes at a path pattern, by method.
type pathRoutes struct {
	segments []string // of the pattern
	byMethod map[string]Route
}

// Handle adds the route of a method at a path pattern such as /v1/proxies/{proxy}/tables, where {proxy} matches any one
// segment. A route for GET also handles HEAD.
func (m *Mux) Handle(method, pattern string, route Route) {
	segments := strings.Split(pattern, "/")
	for i := range m.paths {
		if strings.Join(m.paths[i].segments, "/") == pattern {
			m.paths[i].byMethod[method] = route
			return
		}
	}
	m.paths = append(m.paths, pathRoutes{segments, map[string]Route{method: route}})
}

// find returns the route of a request and sets the request's Params. Without a route it returns the reply: an error, or
// the answer to OPTIONS.
func (m *Mux) find(request *Request) (Route, *Reply) {
	for _, path := range m.paths {
		params, ok := path.match(request)
		if !ok {
			continue
		}
		method := request.Method
		if _, ok := path.byMethod[method]; method == "HEAD" && !ok {
			method = "GET"
		}
		if route, ok := path.byMethod[method]; ok {
			request.Params = params
			return route, nil
		}
		return Route{}, path.replyWithoutRoute(request.Method)
	}
	if request.Path == "*" {
		return Route{}, &Reply{Status: 204, Header: Header("Allow", "GET, HEAD, POST, DELETE, OPTIONS")}
	}
	reply := Problem{Status: 404, Detail: "nothing is at this path"}.Reply()
	return Route{}, &reply
}

// match returns the path parameters of a request. ok is false if its path does not match the pattern.
func (p *pathRoutes) match(request *Request) (params map[string]string, ok bool) {
	// The path is split before it is decoded, so that an encoded slash stays in its segment.
	rawPath, _, _ := strings.Cut(request.Target, "?")
	if scheme := strings.Index(rawPath, "://"); scheme >= 0 {
		if slash := strings.IndexByte(rawPath[scheme+3:], '/'); slash >= 0 {
			rawPath = rawPath[scheme+3+slash:]
		}
	}
	segments := strings.Split(rawPath, "/")
	if len(segments) != len(p.segments) {
		return nil, false
	}
	params = map[string]string{}
	for i, want := range p.segments {
		got, err := url.PathUnescape(segments[i])
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

// replyWithoutRoute returns the reply for a method that has no route at the path: the allowed methods for OPTIONS, and
// 405 Method Not Allowed for others.
func (p *pathRoutes) replyWithoutRoute(method string) *Reply {
	var methods []string
	for m := range p.byMethod {
		if methods = append(methods, m); m == "GET" {
			methods = append(methods, "HEAD")
		}
	}
	methods = append(methods, "OPTIONS")
	sort.Strings(methods)
	allow := strings.Join(methods, ", ")
	if method == "OPTIONS" {
		return &Reply{Status: 204, Header: Header("Allow", allow)}
	}
	reply := Problem{Status: 405, Detail: "the path does not serve " + method}.Reply("Allow", allow)
	return &reply
}

// mediaType returns the media type of a message's body, without its parameters.
func mediaType(header textproto.MIMEHeader) string {
	media, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(textproto.TrimString(media))
}
