package main

import (
	"bytes"
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"barleysail/controller"
)

// remote is a running steward.
type remote struct {
	url    string
	client *http.Client
}

// stewardURL gives a flag's or the environment's steward.
func stewardURL(c *cobra.Command) *remote {
	u, _ := c.Flags().GetString("steward")
	return newRemote(u)
}

func newRemote(u string) *remote {
	if !strings.Contains(u, "://") {
		u = "http://" + u
	}
	c := &http.Client{Timeout: 90 * time.Second}
	if strings.HasPrefix(u, "https://") {
		c.Transport = proving()
	}
	return &remote{strings.TrimRight(u, "/"), c}
}

// problem is an error as the steward words it (RFC 9457).
type problem struct {
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Field  string `json:"field"`
}

// do asks the steward; the answer goes into to, where it is not nil.
func (r *remote) do(ctx context.Context, method, path string, body, to any, header ...string) error {
	var in io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("writing the request: %w", err)
		}
		in = bytes.NewReader(text)
	}
	q, err := http.NewRequestWithContext(ctx, method, r.url+path, in)
	if err != nil {
		return fmt.Errorf("asking the steward: %w", err)
	}
	if body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	a, err := r.client.Do(q)
	if err != nil {
		return &exitError{exitUnreachable, fmt.Errorf("asking the steward: %w", err)}
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, 64<<20))
	if err != nil {
		return &exitError{exitUnreachable, fmt.Errorf("reading the steward's answer: %w", err)}
	}
	if a.StatusCode >= 300 {
		p := problem{Detail: string(bytes.TrimSpace(text))}
		json.Unmarshal(text, &p)
		if p.Field != "" {
			p.Detail = p.Field + ": " + p.Detail
		}
		err := errors.New(p.Detail)
		if a.StatusCode == http.StatusConflict {
			return &exitError{exitRefused, fmt.Errorf("refused: %w", err)}
		}
		return err
	}
	if to == nil {
		return nil
	}
	if err := json.Unmarshal(text, to); err != nil {
		return fmt.Errorf("reading the steward's answer: %w", err)
	}
	return nil
}

func (r *remote) hosts(ctx context.Context) ([]controller.HostInfo, error) {
	var x struct{ Hosts []controller.HostInfo }
	err := r.do(ctx, "GET", "/v1/hosts", nil, &x)
	return x.Hosts, err
}

func (r *remote) proxies(ctx context.Context) ([]controller.ProxyInfo, error) {
	var x struct{ Proxies []controller.ProxyInfo }
	err := r.do(ctx, "GET", "/v1/proxies", nil, &x)
	return x.Proxies, err
}

func (r *remote) events(ctx context.Context, after int64, wait int) ([]controller.Event, error) {
	var x struct{ Events []controller.Event }
	err := r.do(ctx, "GET", fmt.Sprintf("/v1/events?after=%d", after), nil, &x, "Prefer", fmt.Sprintf("wait=%d", wait))
	return x.Events, err
}

// holding is what a proxy holds, by class.
type holding struct {
	Tables map[string]struct {
		Hosts map[string]float64 `json:"hosts"`
		Share float64            `json:"share"`
		Tries int                `json:"tries"`
	} `json:"tables"`
}

func (r *remote) holds(ctx context.Context, proxy string) (h holding, err error) {
	err = r.do(ctx, "GET", "/v1/proxies/"+url.PathEscape(proxy)+"/holds", nil, &h)
	return h, err
}

func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table prints rows in the form that is asked for.
func table(out io.Writer, form string, head []string, rows [][]string, whole any) error {
	switch form {
	case "json":
		return printJSON(out, whole)
	case "csv":
		w := csv.NewWriter(out)
		w.Write(head)
		w.WriteAll(rows)
		return w.Error()
	case "table":
		w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
		fmt.Fprintln(w, strings.Join(head, "\t"))
		for _, r := range rows {
			fmt.Fprintln(w, strings.Join(r, "\t"))
		}
		return w.Flush()
	}
	return fmt.Errorf("-o %s: table, json and csv are known", form)
}

func short(x float64) string { return strconv.FormatFloat(x, 'g', 4, 64) }

// operatorsWord says what is set on a host.
func operatorsWord(o *controller.OverrideInfo) string {
	if o == nil {
		return ""
	}
	text := o.State
	if o.Waiting {
		text += " (waits)"
	}
	if o.Weight > 0 {
		text += " weight " + short(o.Weight)
	}
	if o.Part > 0 {
		text += " weight x" + short(o.Part)
	}
	if o.Added {
		text += " added"
	}
	if o.By != "" {
		text += " by " + o.By
	}
	return text
}

func hostState(h controller.HostInfo) string {
	if h.Withdrawn {
		return "withdrawn"
	}
	if h.Phase == "ready" && h.Why.SlowStartFactor < 1 {
		return "cold"
	}
	return h.Phase
}

func getCommand() *cobra.Command {
	var form, proxy string
	c := &cobra.Command{Use: "get hosts|proxies|tables|events|status", Short: "How things stand at a running steward",
		Args: cobra.ExactArgs(1), ValidArgs: []string{"hosts", "proxies", "tables", "events", "status"},
		RunE: func(c *cobra.Command, args []string) error {
			return get(c.Context(), c.OutOrStdout(), stewardURL(c), args[0], proxy, form)
		}}
	c.Flags().StringVarP(&form, "output", "o", "table", "table, json or csv")
	c.Flags().StringVar(&proxy, "proxy", "", "of one proxy, for tables")
	return c
}

func get(ctx context.Context, out io.Writer, r *remote, what, proxy, form string) error {
	switch what {
	case "hosts":
		hosts, err := r.hosts(ctx)
		if err != nil {
			return err
		}
		var rows [][]string
		for _, h := range hosts {
			rows = append(rows, []string{h.Host, h.Zone, hostState(h), short(h.Listed), short(h.Weight), short(h.Why.ArrivalRate), short(h.Why.MeanLatencyMs),
				short(h.Why.Capacity), short(h.Why.Load.Utilization), operatorsWord(h.Operator)})
		}
		return table(out, form, []string{"host", "zone", "state", "listed", "weight", "rate", "r_ms", "cap", "util", "operator"}, rows, hosts)
	case "proxies":
		proxies, err := r.proxies(ctx)
		if err != nil {
			return err
		}
		var rows [][]string
		for _, p := range proxies {
			rate := 0.0
			for _, x := range p.Rates {
				rate += x
			}
			rows = append(rows, []string{p.Proxy, p.Zone, p.Tag, strconv.FormatBool(p.Acked), strconv.FormatBool(p.Held), short(rate), short(p.Waiting)})
		}
		return table(out, form, []string{"proxy", "zone", "tag", "acked", "held", "rate", "lines_waiting"}, rows, proxies)
	case "tables":
		return getTables(ctx, out, r, proxy, form)
	case "events":
		events, err := r.events(ctx, 0, 0)
		if err != nil {
			return err
		}
		var rows [][]string
		for _, e := range events {
			rows = append(rows, []string{strconv.FormatInt(e.Number, 10), clockTime(e.At), e.Kind, e.Text})
		}
		return table(out, form, []string{"number", "at", "kind", "text"}, rows, events)
	case "status":
		var st map[string]any
		if err := r.do(ctx, "GET", "/v1/status", nil, &st); err != nil {
			return err
		}
		var rows [][]string
		for _, k := range slices.Sorted(maps.Keys(st)) {
			text, _ := json.Marshal(st[k])
			rows = append(rows, []string{k, string(text)})
		}
		return table(out, form, []string{"field", "value"}, rows, st)
	}
	return fmt.Errorf("get %s: hosts, proxies, tables, events and status are known", what)
}

func getTables(ctx context.Context, out io.Writer, r *remote, proxy, form string) error {
	names := []string{proxy}
	if proxy == "" {
		proxies, err := r.proxies(ctx)
		if err != nil {
			return err
		}
		names = nil
		for _, p := range proxies {
			names = append(names, p.Proxy)
		}
	}
	var rows [][]string
	all := map[string]holding{}
	for _, name := range names {
		h, err := r.holds(ctx, name)
		if err != nil {
			return err
		}
		all[name] = h
		for _, class := range slices.Sorted(maps.Keys(h.Tables)) {
			t := h.Tables[class]
			for _, host := range slices.Sorted(maps.Keys(t.Hosts)) {
				rows = append(rows, []string{name, class, host, short(t.Hosts[host]), short(t.Share), strconv.Itoa(t.Tries)})
			}
		}
	}
	return table(out, form, []string{"proxy", "class", "host", "weight", "share", "tries"}, rows, all)
}

func describeCommand() *cobra.Command {
	c := &cobra.Command{Use: "describe host NAME", Short: "Why a host's weight is what it is", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			if args[0] != "host" {
				return fmt.Errorf("describe %s: hosts can be described", args[0])
			}
			var h controller.HostInfo
			if err := stewardURL(c).do(c.Context(), "GET", "/v1/hosts/"+url.PathEscape(args[1]), nil, &h); err != nil {
				return err
			}
			describe(c.OutOrStdout(), h)
			return nil
		}}
	return c
}

func describe(out io.Writer, h controller.HostInfo) {
	x := h.Why
	fmt.Fprintf(out, "%s of zone %s is %s\n", h.Host, h.Zone, hostState(h))
	if h.Operator != nil {
		fmt.Fprintf(out, "operator      %s\n", operatorsWord(h.Operator))
	}
	fmt.Fprintf(out, "weight        %s told to proxies, %s wanted; moves have put it at %s, listed is %s\n", short(h.Weight), short(x.TargetWeight),
		short(x.Weight), short(h.Listed))
	fmt.Fprintf(out, "load          rate %s a second, R %s ms (median of all %s ms)\n", short(x.ArrivalRate), short(x.MeanLatencyMs), short(x.MedianLatencyMs))
	room := x.Capacity - x.ArrivalRate
	word := "room"
	if room < 0 {
		word, room = "excess", -room
	}
	fmt.Fprintf(out, "cap           mu %s - K %s = %s a second; %s %s\n", short(x.ServiceRate), short(x.LatencyMargin), short(x.Capacity), word, short(room))
	fmt.Fprintf(out, "reported      busy %s, queue %s\n", short(x.Load.Utilization), short(x.Load.QueueLength))
	fmt.Fprintf(out, "tries lately  %s fulfilled, %s failed\n", short(x.Successes), short(x.Failures))
	fmt.Fprintf(out, "probes        %d in a row answered, %d not; withdrawn: %v\n", x.ConsecutiveSuccesses, x.ConsecutiveFailures, x.Ejected)
	if x.SlowStartFactor < 1 {
		fmt.Fprintf(out, "cold          %.0f%% of its capacity now\n", 100*x.SlowStartFactor)
	}
	if x.RecoveryFactor < 1 {
		fmt.Fprintf(out, "on trial      %.0f%% of its weight\n", 100*x.RecoveryFactor)
	}
	if !x.Balanced {
		fmt.Fprintln(out, "it takes no part in moves now")
	}
	for _, m := range h.Moves {
		fmt.Fprintf(out, "%s  weight %s to %s; rate %s, R %s ms, cap %s\n", clockTime(m.At), short(m.From), short(m.To), short(m.Rate), short(m.R), short(m.Cap))
	}
}

// orderCommand makes drain, maint, ready and weight.
func orderCommand(use, help, state string, weight bool) *cobra.Command {
	var lasts time.Duration
	var wait, clear bool
	var by string
	n := 1
	if weight {
		n = 2
	}
	c := &cobra.Command{Use: use, Short: help, Args: cobra.RangeArgs(n-btoi(weight), n),
		RunE: func(c *cobra.Command, args []string) error {
			body := map[string]any{"state": state, "for_ms": lasts.Seconds() * 1000, "wait": wait, "by": by}
			if weight {
				delete(body, "state")
				if len(args) == 2 {
					text, part := strings.CutSuffix(args[1], "%")
					x, err := strconv.ParseFloat(text, 64)
					if err != nil {
						return fmt.Errorf("%q is no weight", args[1])
					}
					if part {
						body["part"] = x / 100
					} else {
						body["weight"] = x
					}
				} else if body["clear"] = true; !clear {
					return errors.New("a weight, a part in percent, or --clear is needed")
				}
			}
			path := "/v1/hosts/" + url.PathEscape(args[0]) + "/operator"
			if zone, ok := strings.CutPrefix(args[0], "zone="); ok {
				path = "/v1/zones/" + url.PathEscape(zone) + "/operator"
			}
			var done struct {
				Hosts int
				Waits bool
			}
			if err := stewardURL(c).do(c.Context(), "POST", path, body, &done); err != nil {
				return err
			}
			word := "done"
			if done.Waits {
				word = "waits for its turn"
			}
			fmt.Fprintf(c.OutOrStdout(), "%d of host: %s\n", done.Hosts, word)
			return nil
		}}
	c.Flags().DurationVar(&lasts, "for", 0, "it ends after so long, as in 10m")
	c.Flags().BoolVar(&wait, "wait", false, "not refused where it cannot be done yet: it waits for its turn")
	c.Flags().StringVar(&by, "by", os.Getenv("USER"), "who wants it")
	if weight {
		c.Flags().BoolVar(&clear, "clear", false, "the list's weight again")
	}
	return c
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func eventsCommand() *cobra.Command {
	var follow bool
	c := &cobra.Command{Use: "events", Short: "What the steward did", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, after, wait := stewardURL(c), int64(0), 0
			for {
				events, err := r.events(c.Context(), after, wait)
				if err != nil {
					return err
				}
				for _, e := range events {
					fmt.Fprintf(c.OutOrStdout(), "%s  %-8s %s\n", clockTime(e.At), e.Kind, e.Text)
					after = e.Number
				}
				if !follow {
					return nil
				}
				wait = 30
			}
		}}
	c.Flags().BoolVarP(&follow, "follow", "f", false, "go on as they come")
	return c
}

// diffCommand compares what two stewards' proxies hold on average.
func diffCommand() *cobra.Command {
	return &cobra.Command{Use: "diff STEWARD OTHER", Short: "In which weights two stewards' tables differ; exit 5 where they do",
		Args: cobra.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
			n, err := diff(c.Context(), c.OutOrStdout(), newRemote(args[0]), newRemote(args[1]))
			if err == nil && n > 0 {
				err = &exitError{exitDiffers, fmt.Errorf("%d weights differ", n)}
			}
			return err
		}}
}

func diff(ctx context.Context, out io.Writer, a, b *remote) (int, error) {
	one, err := a.hosts(ctx)
	if err != nil {
		return 0, err
	}
	two, err := b.hosts(ctx)
	if err != nil {
		return 0, err
	}
	weights := map[string][2]string{}
	for i, hosts := range [][]controller.HostInfo{one, two} {
		for _, h := range hosts {
			w := weights[h.Host]
			w[i] = short(h.Weight) + " " + hostState(h)
			weights[h.Host] = w
		}
	}
	n := 0
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	for _, host := range slices.Sorted(maps.Keys(weights)) {
		if x := weights[host]; x[0] != x[1] {
			n++
			fmt.Fprintf(w, "%s\t%s\t%s\n", host, x[0], x[1])
		}
	}
	return n, w.Flush()
}

// operators are the commands that ask a running steward.
func operators() []*cobra.Command {
	all := []*cobra.Command{getCommand(), describeCommand(), eventsCommand(), topCommand(),
		orderCommand("drain HOST|zone=ZONE", "Drain a host, or a zone's hosts one after the other", "drain", false),
		orderCommand("maint HOST|zone=ZONE", "Take a host off the list", "maint", false),
		orderCommand("ready HOST|zone=ZONE", "Take back what was set on a host", "ready", false),
		orderCommand("weight HOST [WEIGHT|PART%]", "Set a host's listed weight", "", true)}
	for _, c := range all {
		withSteward(c)
	}
	return append(all, diffCommand(), guardCommand())
}

// withSteward gives a command the flag that names the steward it asks.
func withSteward(c *cobra.Command) {
	usual := os.Getenv("BARLEYSAIL_STEWARD")
	if usual == "" {
		usual = "http://127.0.0.1:7070"
	}
	c.Flags().String("steward", usual, "the steward's URL; BARLEYSAIL_STEWARD names another")
}
