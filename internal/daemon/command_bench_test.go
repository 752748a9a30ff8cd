package daemon

import (
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"barleysail/internal/config"
)

// BenchmarkDurableCommands measures operators' commands that are stored before they are answered.
func BenchmarkDurableCommands(b *testing.B) {
	for _, operators := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(operators, " operators"), func(b *testing.B) { benchmarkCommands(b, operators) })
	}
}

func benchmarkCommands(b *testing.B, operators int) {
	folder := filepath.Join(b.TempDir(), "state")
	const text = baseConfig + `list { url: "http://127.0.0.1:1/" } state { folder: %q every_ms: 3600000 }`
	cfg, err := config.Parse("bench", fmt.Appendf(nil, text, folder))
	if err != nil {
		b.Fatal(err)
	}
	d := startConfiguredBenchDaemon(b, cfg, benchHosts)
	transport := &http.Transport{MaxIdleConnsPerHost: operators}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	waits := make([]time.Duration, b.N)
	var goroutines sync.WaitGroup
	b.ResetTimer()
	for operator := range operators {
		goroutines.Go(func() {
			for i := operator; i < b.N; i += operators {
				body := fmt.Sprintf(`{"weight":%d,"by":"operator"}`, 1+i)
				began := time.Now()
				result := sendRequest(b, client, http.MethodPost, "http://"+d.Addr()+firstHostCommands, body,
					"Content-Type", jsonMediaType)
				waits[i] = time.Since(began)
				if result.status != http.StatusOK {
					b.Errorf("command: %+v, want status 200", result)
				}
			}
		})
	}
	goroutines.Wait()
	b.StopTimer()
	slices.Sort(waits)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
	b.ReportMetric(waits[b.N/2].Seconds()*msPerSecond, "p50-ms")
	b.ReportMetric(waits[b.N*99/100].Seconds()*msPerSecond, "p99-ms")
}
