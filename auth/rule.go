package auth

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
)

// scheme begins every SPIFFE ID.
const scheme = "spiffe://"

// Segments of a rule's path that are not literal: a wildcard and captures.
const (
	wildcard     = "*" // any segment
	captureProxy = "{proxy}"
	captureZone  = "{zone}"
	captureHost  = "{host}"
)

// Request is the action of a caller, with the proxy, zone and host that it names; a field is "" where it names none.
type Request struct {
	Action            Action
	Proxy, Zone, Host string
}

// Rule allows actions to the identities that match a pattern: a trust domain and a path. A segment of the path is
// literal, * for any segment, or a capture: {proxy}, {zone} or {host} for the one that the request names, where a host
// is written as its HostSegment.
type Rule struct {
	id      string // the pattern as configured, for messages
	domain  spiffeid.TrustDomain
	path    []string
	actions []Action
}

// NewRule parses a rule. Its errors are *RuleError.
func NewRule(id string, allowed []Action) (Rule, error) {
	rule, err := parseRule(id, allowed)
	if err != nil {
		return Rule{}, &RuleError{ID: id, Err: err}
	}
	return rule, nil
}

// parseRule parses a rule. Its errors are the causes that NewRule wraps in a RuleError.
func parseRule(id string, allowed []Action) (Rule, error) {
	rest, hasScheme := strings.CutPrefix(id, scheme)
	if !hasScheme {
		return Rule{}, ErrNoScheme
	}
	domainName, path, _ := strings.Cut(rest, "/")
	domain, err := spiffeid.TrustDomainFromString(domainName)
	if err != nil {
		return Rule{}, err
	}
	if path == "" {
		return Rule{}, ErrNoPath
	}
	segments := strings.Split(path, "/")
	for _, segment := range segments {
		if err := validateSegment(segment); err != nil {
			return Rule{}, err
		}
	}
	if len(allowed) == 0 {
		return Rule{}, ErrNoAction
	}
	for _, action := range allowed {
		capture := action.requiredCapture()
		if capture != "" && !slices.Contains(segments, capture) && !slices.Contains(segments, wildcard) {
			return Rule{}, &MissingCaptureError{Action: action, Capture: capture}
		}
	}
	return Rule{id: id, domain: domain, path: segments, actions: allowed}, nil
}

// validateSegment returns a *SegmentError if a segment is neither a wildcard or capture nor valid in a SPIFFE ID.
func validateSegment(segment string) error {
	switch segment {
	case wildcard, captureProxy, captureZone, captureHost:
		return nil
	}
	if err := spiffeid.ValidatePathSegment(segment); err != nil {
		return &SegmentError{Segment: segment, Err: err}
	}
	return nil
}

// denialReason returns why the rule does not allow the request to the identity, or "" if it does. HTTP responses show
// it.
func (r *Rule) denialReason(id spiffeid.ID, request Request) string {
	if !slices.Contains(r.actions, request.Action) {
		return fmt.Sprintf("is not for %s", request.Action)
	}
	if !id.MemberOf(r.domain) {
		return fmt.Sprintf("is for the trust domain %s", r.domain)
	}
	path := strings.Split(strings.TrimPrefix(id.Path(), "/"), "/")
	if len(path) != len(r.path) {
		return fmt.Sprintf("is for a path of %d segments", len(r.path))
	}
	for i, segment := range r.path {
		if segment == wildcard {
			continue
		}
		want := request.resolve(segment)
		if path[i] != want {
			return fmt.Sprintf("segment %d is %q, not %q", i+1, path[i], want)
		}
	}
	return ""
}

// resolve returns the path segment that an identity must have to match a rule's segment.
func (r *Request) resolve(segment string) string {
	switch segment {
	case captureProxy:
		return r.Proxy
	case captureZone:
		return r.Zone
	case captureHost:
		return HostSegment(r.Host)
	default:
		return segment
	}
}

// HostSegment returns the path segment for a host with the name address:port. Paths of SPIFFE IDs have neither colons
// nor brackets, so _ replaces the colon before the port, - replaces those of an IPv6 address, and brackets are omitted.
func HostSegment(host string) string {
	port := strings.LastIndexByte(host, ':')
	if port >= 0 {
		host = host[:port] + "_" + host[port+1:]
	}
	return strings.NewReplacer("[", "", "]", "", ":", "-").Replace(host)
}
