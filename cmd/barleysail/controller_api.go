package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"barleysail/controller"
)

// hosts returns the hosts of the endpoint list.
func (c *controllerClient) hosts(ctx context.Context) ([]controller.HostInfo, error) {
	var response struct{ Hosts []controller.HostInfo }
	err := c.get(ctx, "/v1/hosts", &response)
	return response.Hosts, err
}

// host returns one host.
func (c *controllerClient) host(ctx context.Context, name string) (host controller.HostInfo, err error) {
	err = c.get(ctx, "/v1/hosts/"+url.PathEscape(name), &host)
	return host, err
}

// proxies returns the connected proxies.
func (c *controllerClient) proxies(ctx context.Context) ([]controller.ProxyInfo, error) {
	var response struct{ Proxies []controller.ProxyInfo }
	err := c.get(ctx, "/v1/proxies", &response)
	return response.Proxies, err
}

// events returns the events after a number. If there is none yet, the controller waits for one, at most for
// waitSeconds.
func (c *controllerClient) events(ctx context.Context, after int64, waitSeconds int) ([]controller.Event, error) {
	var response struct{ Events []controller.Event }
	err := c.call(ctx, apiRequest{
		method: http.MethodGet,
		path:   fmt.Sprintf("/v1/events?after=%d", after),
		header: http.Header{"Prefer": {fmt.Sprintf("wait=%d", waitSeconds)}},
	}, &response)
	return response.Events, err
}

// status returns the controller's status.
func (c *controllerClient) status(ctx context.Context) (status controller.Status, err error) {
	err = c.get(ctx, "/v1/status", &status)
	return status, err
}

// routingTable is a proxy's table for one request class.
type routingTable struct {
	Hosts       map[string]float64 `json:"hosts"` // weights by host
	Share       float64            `json:"share"` // admission ratio
	RetryPolicy int                `json:"tries"` // number of the retry policy, 0 to 3
}

// proxyTables holds the tables of a proxy, by request class.
type proxyTables struct {
	Tables map[string]routingTable `json:"tables"`
}

// tables returns the tables of a proxy.
func (c *controllerClient) tables(ctx context.Context, proxy string) (tables proxyTables, err error) {
	err = c.get(ctx, "/v1/proxies/"+url.PathEscape(proxy)+"/holds", &tables)
	return tables, err
}
