package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"barleysail/controller"
)

// Resources of "get".
const (
	resourceHosts   = "hosts"
	resourceProxies = "proxies"
	resourceTables  = "tables"
	resourceEvents  = "events"
	resourceStatus  = "status"
)

func getCommand() *cobra.Command {
	var format, proxy string
	cmd := &cobra.Command{
		Use:       "get hosts|proxies|tables|events|status",
		Short:     "Print the state of a running controller",
		Args:      cobra.ExactArgs(1),
		ValidArgs: []string{resourceHosts, resourceProxies, resourceTables, resourceEvents, resourceStatus},
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := clientFromFlag(cmd)
			if err != nil {
				return err
			}
			result, err := getResource(cmd.Context(), client, args[0], proxy)
			if err != nil {
				return err
			}
			return result.print(cmd.OutOrStdout(), format)
		},
	}
	cmd.Flags().StringVarP(&format, "output", "o", formatTable, "output format: table, json or csv")
	cmd.Flags().StringVar(&proxy, "proxy", "", "print the tables of this proxy alone")
	return cmd
}

// getResource queries a resource by its name on the command line. proxy limits tables to one proxy; empty: all.
func getResource(ctx context.Context, client *controllerClient, resource, proxy string) (*resultTable, error) {
	switch resource {
	case resourceHosts:
		return getHosts(ctx, client)
	case resourceProxies:
		return getProxies(ctx, client)
	case resourceTables:
		return getTables(ctx, client, proxy)
	case resourceEvents:
		return getEvents(ctx, client)
	case resourceStatus:
		return getStatus(ctx, client)
	}
	return nil, fmt.Errorf("get %s: unknown resource, want hosts, proxies, tables, events or status", resource)
}

func getHosts(ctx context.Context, client *controllerClient) (*resultTable, error) {
	hosts, err := client.hosts(ctx)
	if err != nil {
		return nil, err
	}
	result := &resultTable{
		header:   []string{"host", "zone", "state", "listed", "weight", "rate", "r_ms", "cap", "util", "operator"},
		document: hosts,
	}
	for _, host := range hosts {
		result.rows = append(result.rows, []string{
			host.Host,
			host.Zone,
			hostState(host),
			formatNumber(host.BaseWeight),
			formatNumber(host.Weight),
			formatNumber(host.Explanation.ArrivalRate),
			formatNumber(host.Explanation.MeanLatencyMs),
			formatNumber(host.Explanation.Capacity),
			formatNumber(host.Explanation.Load.Utilization),
			formatOverride(host.Override),
		})
	}
	return result, nil
}

func getProxies(ctx context.Context, client *controllerClient) (*resultTable, error) {
	proxies, err := client.proxies(ctx)
	if err != nil {
		return nil, err
	}
	result := &resultTable{
		header:   []string{"proxy", "zone", "tag", "acked", "held", "rate", "lines_waiting"},
		document: proxies,
	}
	for _, proxy := range proxies {
		result.rows = append(result.rows, []string{
			proxy.Proxy,
			proxy.Zone,
			proxy.Tag,
			strconv.FormatBool(proxy.Acked),
			strconv.FormatBool(proxy.PollPending),
			formatNumber(totalRate(proxy)),
			formatNumber(proxy.QueuedEntries),
		})
	}
	return result, nil
}

// totalRate returns a proxy's requests a second, of all request classes.
func totalRate(proxy controller.ProxyInfo) float64 {
	total := 0.0
	for _, rate := range proxy.Rates {
		total += rate
	}
	return total
}

// getTables queries the tables of one proxy, or of all proxies for an empty name.
func getTables(ctx context.Context, client *controllerClient, proxy string) (*resultTable, error) {
	names, err := proxyNames(ctx, client, proxy)
	if err != nil {
		return nil, err
	}
	document := map[string]proxyTables{}
	result := &resultTable{
		header:   []string{"proxy", "class", "host", "weight", "share", "tries"},
		document: document,
	}
	for _, name := range names {
		tables, err := client.tables(ctx, name)
		if err != nil {
			return nil, err
		}
		document[name] = tables
		for _, class := range slices.Sorted(maps.Keys(tables.Tables)) {
			result.rows = append(result.rows, tableRows(name, class, tables.Tables[class])...)
		}
	}
	return result, nil
}

// proxyNames returns the given name, or for an empty one the names of all connected proxies.
func proxyNames(ctx context.Context, client *controllerClient, proxy string) ([]string, error) {
	if proxy != "" {
		return []string{proxy}, nil
	}
	proxies, err := client.proxies(ctx)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, proxy := range proxies {
		names = append(names, proxy.Proxy)
	}
	return names, nil
}

func tableRows(proxy, class string, table routingTable) [][]string {
	var rows [][]string
	for _, host := range slices.Sorted(maps.Keys(table.Hosts)) {
		weight := formatNumber(table.Hosts[host])
		share := formatNumber(table.Share)
		rows = append(rows, []string{proxy, class, host, weight, share, strconv.Itoa(table.RetryPolicy)})
	}
	return rows
}

func getEvents(ctx context.Context, client *controllerClient) (*resultTable, error) {
	events, err := client.events(ctx, 0, 0)
	if err != nil {
		return nil, err
	}
	result := &resultTable{header: []string{"number", "at", "kind", "text"}, document: events}
	for _, event := range events {
		number := strconv.FormatInt(event.Number, 10)
		result.rows = append(result.rows, []string{number, formatTime(event.AtMs), event.Kind, event.Text})
	}
	return result, nil
}

// getStatus queries the status as an untyped document, so that fields of newer controllers are printed, too.
func getStatus(ctx context.Context, client *controllerClient) (*resultTable, error) {
	var status map[string]any
	if err := client.get(ctx, "/v1/status", &status); err != nil {
		return nil, err
	}
	result := &resultTable{header: []string{"field", "value"}, document: status}
	for _, field := range slices.Sorted(maps.Keys(status)) {
		value, err := json.Marshal(status[field])
		if err != nil {
			return nil, fmt.Errorf("status field %s: %w", field, err)
		}
		result.rows = append(result.rows, []string{field, string(value)})
	}
	return result, nil
}
