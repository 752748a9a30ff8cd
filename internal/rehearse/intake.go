package rehearse

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"barleysail/auth"
	"barleysail/internal/daemon"
)

// taken follows what the stewards take in, sampled each second.
type taken struct {
	client  *http.Client
	samples []daemon.IngestReport // of the first steward
	refused atomic.Int64          // hosts' reports that were not let in
	level   int
	late    float64
	wait    float64
}

// hostReports has the hosts of groups that report by themselves do so.
func (d *day) hostReports(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 1024}, Timeout: 2 * time.Second}
	i, urls := 0, []string(nil)
	for _, a := range d.addresses {
		urls = append(urls, d.scheme()+a)
	}
	for _, g := range d.script.Hosts {
		for range g.Count {
			h := d.hosts[i]
			if i++; g.ReportMs > 0 {
				client := client
				if x := d.identities; x != nil {
					_, secure, err := x.proving(fmt.Sprint("h", i), "/host/"+auth.HostSegment(h.Address))
					if err != nil {
						d.log.Error().Err(err).Msg("a host got no identity")
						continue
					}
					client = &http.Client{Transport: &http.Transport{TLSClientConfig: secure}, Timeout: 2 * time.Second}
				}
				go h.Report(ctx, client, urls, time.Duration(g.ReportMs*float64(time.Millisecond)), &d.taken.refused)
			}
		}
	}
}

// sampleIntake asks each steward how its intake stands.
func (d *day) sampleIntake() {
	t := &d.taken
	for i, address := range d.addresses {
		r, err := t.client.Get(d.scheme() + address + "/v1/intake")
		if err != nil {
			continue
		}
		text, err := io.ReadAll(r.Body)
		r.Body.Close()
		var x daemon.IngestReport
		if err != nil || json.Unmarshal(text, &x) != nil {
			continue
		}
		t.level, t.late, t.wait = max(t.level, x.SheddingLevel), math.Max(t.late, x.LatenessMs), math.Max(t.wait, x.WaitP99Ms)
		d.journal.LogMaxBacklog(address, x.PeakBacklog)
		if i == 0 {
			t.samples = append(t.samples, x)
		}
	}
}

// print says how the intake fared: the first steward's figures, and the worst of all.
func (t *taken) print(out io.Writer) {
	if len(t.samples) == 0 {
		return
	}
	last := t.samples[len(t.samples)-1]
	var dropped []string
	for _, why := range slices.Sorted(maps.Keys(last.Dropped)) {
		dropped = append(dropped, fmt.Sprintf("%d %s", last.Dropped[why], why))
	}
	fmt.Fprintf(out, "intake  %d lines, dropped: %s; %d of the hosts' reports were not let in\n", last.Processed, strings.Join(dropped, ", "), t.refused.Load())
	fmt.Fprintf(out, "        from report to decision %.0f ms median, %.0f ms 99th percentile, worst %.0f ms; rounds %.1f ms late at worst, level %d\n",
		last.WaitP50Ms, last.WaitP99Ms, t.wait, t.late, t.level)
	fmt.Fprintf(out, "        heap %.1f MiB early, %.1f MiB at the end; %d hosts doubted, %d silent\n", t.heap(0.1, 0.35), t.heap(0.75, 1), last.Distrusted, last.Silent)
}

// heap is the least of a part of the day, as it stands after a collection.
func (t *taken) heap(from, to float64) float64 {
	least := math.Inf(1)
	n := float64(len(t.samples))
	for _, x := range t.samples[int(from*n):max(int(to*n), int(from*n)+1)] {
		least = math.Min(least, float64(x.HeapBytes)/(1<<20))
	}
	return least
}
