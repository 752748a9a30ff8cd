package daemon

import (
	"fmt"
	"net/url"

	"barleysail/internal/http1"
)

const (
	maxResponseLineBytes   = 8 << 10
	maxResponseHeaderBytes = 32 << 10
)

// clientLimits bounds the responses that the daemon's HTTP clients read.
func clientLimits(maxBodyBytes int64) http1.Limits {
	return http1.Limits{Line: maxResponseLineBytes, Header: maxResponseHeaderBytes, Body: maxBodyBytes}
}

// parseServiceURL reads the URL of a service that the daemon calls, and gives the address to dial with its port. The
// scheme has to be https where the daemon has credentials, and http otherwise. Errors begin with the name of the
// setting.
func parseServiceURL(setting, text string, secure bool) (service *url.URL, address string, err error) {
	scheme, defaultPort := "http", ":80"
	if secure {
		scheme, defaultPort = "https", ":443"
	}
	service, err = url.Parse(text)
	if err != nil || service.Scheme != scheme || service.Host == "" {
		return nil, "", fmt.Errorf("%s: %q is no %s URL", setting, text, scheme)
	}
	address = service.Host
	if service.Port() == "" {
		address += defaultPort
	}
	return service, address, nil
}
