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

// ingestStats collects the controllers' ingest reports, which are sampled each second.
type ingestStats struct {
	client           *http.Client
	samples          []daemon.IngestReport // of the first controller
	rejectedReports  atomic.Int64          // load reports of hosts that were answered with status 429
	maxSheddingLevel int
	maxLatenessMs    float64
	maxWaitP99Ms     float64
}

// startLoadReports starts the load reports of the host groups that send them.
func (s *scenario) startLoadReports(ctx context.Context) {
	client := &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 1024},
		Timeout:   2 * time.Second,
	}
	hostIndex, urls := 0, []string(nil)
	for _, address := range s.controllerAddresses {
		urls = append(urls, s.scheme()+address)
	}
	for _, group := range s.script.Hosts {
		for range group.Count {
			host := s.hosts[hostIndex]
			if hostIndex++; group.ReportMs > 0 {
				client := client
				if identities := s.identities; identities != nil {
					_, tlsConfig, err := identities.addClientWorkload(
						fmt.Sprint("h", hostIndex), "/host/"+auth.HostSegment(host.Address))
					if err != nil {
						s.log.Error().Err(err).Msg("cannot create a host's identity")
						continue
					}
					client = &http.Client{
						Transport: &http.Transport{TLSClientConfig: tlsConfig},
						Timeout:   2 * time.Second,
					}
				}
				go host.SendLoadReports(ctx, client, urls,
					time.Duration(group.ReportMs*float64(time.Millisecond)), &s.ingest.rejectedReports)
			}
		}
	}
}

// sampleIngest fetches the ingest report of each controller.
func (s *scenario) sampleIngest() {
	stats := &s.ingest
	for i, address := range s.controllerAddresses {
		response, err := stats.client.Get(s.scheme() + address + "/v1/intake")
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		var sample daemon.IngestReport
		if err != nil || json.Unmarshal(body, &sample) != nil {
			continue
		}
		stats.maxSheddingLevel = max(stats.maxSheddingLevel, sample.SheddingLevel)
		stats.maxLatenessMs = math.Max(stats.maxLatenessMs, sample.LatenessMs)
		stats.maxWaitP99Ms = math.Max(stats.maxWaitP99Ms, sample.WaitP99Ms)
		s.eventLog.LogMaxBacklog(address, sample.PeakBacklog)
		if i == 0 {
			stats.samples = append(stats.samples, sample)
		}
	}
}

// print prints the figures of the first controller, and the worst ones of all controllers.
func (s *ingestStats) print(out io.Writer) {
	if len(s.samples) == 0 {
		return
	}
	last := s.samples[len(s.samples)-1]
	var dropped []string
	for _, reason := range slices.Sorted(maps.Keys(last.Dropped)) {
		dropped = append(dropped, fmt.Sprintf("%d %s", last.Dropped[reason], reason))
	}
	fmt.Fprintf(out, "intake  %d lines, dropped: %s; %d load reports of hosts rejected\n",
		last.Processed, strings.Join(dropped, ", "), s.rejectedReports.Load())
	fmt.Fprintf(out,
		"        from report to decision %.0f ms median, %.0f ms 99th percentile, worst %.0f ms; "+
			"control rounds %.1f ms late at worst, shedding level up to %d\n",
		last.WaitP50Ms, last.WaitP99Ms, s.maxWaitP99Ms, s.maxLatenessMs, s.maxSheddingLevel)
	fmt.Fprintf(out, "        heap %.1f MiB early, %.1f MiB at the end; %d hosts distrusted, %d silent\n",
		s.minHeapMiB(0.1, 0.35), s.minHeapMiB(0.75, 1), last.Distrusted, last.Silent)
}

// minHeapMiB returns the smallest heap size in a part of the scenario, given as fractions of its length. The minimum
// approximates the size after a garbage collection.
func (s *ingestStats) minHeapMiB(from, to float64) float64 {
	least := math.Inf(1)
	count := float64(len(s.samples))
	for _, sample := range s.samples[int(from*count):max(int(to*count), int(from*count)+1)] {
		least = math.Min(least, float64(sample.HeapBytes)/(1<<20))
	}
	return least
}
