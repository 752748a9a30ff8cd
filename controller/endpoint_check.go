package controller

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"

	"barleysail/routing"
)

// Bounds of an endpoint list.
const (
	maxHosts      = 50000 // the balancer's indices and the tables grow with the list
	maxBaseWeight = 1e6
	maxCores      = 1e9  // bound of the number of cores and of the speed of a core
	maxTimeMs     = 1e15 // about 30000 years after 1970
	maxHostLength = 255  // length of address:port in bytes
)

var dnsNamePattern = regexp.MustCompile(
	`^[A-Za-z0-9]([A-Za-z0-9-]*[A-Za-z0-9])?(\.[A-Za-z0-9]([A-Za-z0-9-]*[A-Za-z0-9])?)*$`)

// CheckAddress returns an error if host is not a valid address:port. The address is an IP address or a DNS name, and
// the port is not 0.
func CheckAddress(host string) error {
	if validAddress(host) {
		return nil
	}
	return fmt.Errorf("%q is no address:port", host)
}

func validAddress(host string) bool {
	if address, err := netip.ParseAddrPort(host); err == nil && address.Port() > 0 {
		return true
	}
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || len(host) > maxHostLength {
		return false
	}
	port, err := strconv.ParseUint(host[colon+1:], 10, 16)
	if err != nil || port == 0 {
		return false
	}
	name := host[:colon]
	onlyDigits := strings.Trim(name, "0123456789.") == "" // an IP address that netip did not accept
	return dnsNamePattern.MatchString(name) && !onlyDigits
}

// checkEndpoints returns a *FieldError for the first invalid field of a list.
func (c *Controller) checkEndpoints(entries []Endpoint) error {
	if len(entries) > maxHosts {
		return invalidField("hosts", "%d entries, %d at most", len(entries), maxHosts)
	}
	seen := make(map[string]bool, len(entries))
	for i, endpoint := range entries {
		field := fmt.Sprintf("hosts[%d]", i)
		if err := CheckAddress(endpoint.Host); err != nil {
			return invalidField(field+".address", "%v", err)
		}
		if seen[endpoint.Host] {
			return invalidField(field+".address", "%s stands there twice", endpoint.Host)
		}
		seen[endpoint.Host] = true
		if err := c.checkEndpoint(field, endpoint); err != nil {
			return err
		}
	}
	return nil
}

// checkEndpoint checks the fields of an entry other than its address. The comparisons are written so that NaN fails.
func (c *Controller) checkEndpoint(field string, e Endpoint) error {
	if _, ok := c.zoneIndex[e.Zone]; !ok {
		return invalidField(field+".zone", "%q is not among the zones %s", e.Zone, strings.Join(c.deployment.Zones, ", "))
	}
	if e.State != routing.Ready && e.State != routing.Draining {
		return invalidField(field+".phase", "%d is neither ready nor draining", e.State)
	}
	if !(e.Weight >= 0 && e.Weight <= maxBaseWeight) {
		return invalidField(field+".weight", "%g is not from 0 to 1000000", e.Weight)
	}
	if !(e.Cores >= 0 && e.Cores <= maxCores) || !(e.Speed >= 0 && e.Speed <= maxCores) {
		return invalidField(field+".cores", "%g cores of speed %g", e.Cores, e.Speed)
	}
	if !(e.StartedMs >= 0 && e.StartedMs <= maxTimeMs) {
		return invalidField(field+".started", "%g is no time", e.StartedMs)
	}
	return nil
}
