package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// promptReply bounds the wait of a well-behaved client beside a hostile one.
const promptReply = time.Second

// floodRequests are the requests of a flood, by what they ask for; i counts them.
var floodRequests = map[string]func(i int) string{
	"reports of unknown proxies": func(i int) string {
		return postRequest(fmt.Sprintf("/v1/proxies/n%d/sums", i), `{"number":1}`)
	},
	"reports of unknown hosts": func(i int) string {
		return postRequest(fmt.Sprintf("/v1/hosts/n%d/load", i), `{"number":1}`)
	},
	"polls of an unknown zone": func(i int) string {
		return getRequest(fmt.Sprintf("/v1/proxies/n%d/tables?zone=z%d", i, i))
	},
	"commands": func(i int) string {
		return postRequest("/v1/hosts/10.0.0.1:80/operator", fmt.Sprintf(`{"weight":1,"by":"n%d"}`, i))
	},
	"malformed commands": func(i int) string {
		return postRequest("/v1/hosts/10.0.0.1:80/operator", fmt.Sprintf(`{"n%d":1}`, i))
	},
	"status": func(int) string { return getRequest("/v1/status") },
	"state":  func(int) string { return getRequest("/v1/state") },
}

func getRequest(target string) string { return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func postRequest(target, body string) string {
	const format = "POST %s HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
	return fmt.Sprintf(format, target, len(body), body)
}

// flood sends requests on one connection at full speed until the test ends, and returns once a number of them was
// answered.
func (d *testDaemon) flood(answered int, request func(i int) string) {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.Addr())
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = conn.Close() }) // the daemon may have closed it
	go func() {
		writer := bufio.NewWriter(conn)
		for i := 0; ; i++ {
			if _, err := io.WriteString(writer, request(i)); err != nil {
				return
			}
		}
	}()
	reader := bufio.NewReader(conn)
	for range answered {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			d.t.Fatalf("reading a response: %v", err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
}

// One client sends requests at full speed on one connection, also under ever new names. Others must be answered as
// promptly, and what is kept for each name must not grow.
func TestPromptReplyBesideFlood(t *testing.T) {
	for name, request := range floodRequests {
		t.Run(name, func(t *testing.T) {
			const answered = 5000
			d := startDaemon(t, "")
			d.pollUntilBothHosts()
			d.flood(answered, request)
			longest := time.Duration(0)
			for i := range 20 {
				report := fmt.Sprintf(`{"sender":"s","number":%d,"usage":{"sheet":{"came":5,"span":100}}}`, i+1)
				began := time.Now()
				poll := d.get(tablesPath)
				sums := d.post("/v1/proxies/p/sums", report)
				longest = max(longest, time.Since(began))
				if poll.status != http.StatusOK || sums.status != http.StatusOK {
					t.Errorf("poll: status %d, report: status %d %s, want 200", poll.status, sums.status, sums.body)
				}
			}
			sources := d.loop.rateLimiter.Report().Sources
			t.Logf("poll and report answered after %v at the most; the rate limiter keeps %d sources", longest, sources)
			if longest > promptReply {
				t.Errorf("poll and report answered after %v, want at most %v", longest, promptReply)
			}
			if sources > 1 {
				t.Errorf("the rate limiter keeps %d sources, want only the proxy", sources)
			}
		})
	}
}

// Reports of proxies and hosts that the controller does not know are rejected with the errors that name the reason.
func TestReportsOfUnknownSources(t *testing.T) {
	d := startDaemon(t, "")
	for path, status := range map[string]int{
		"/v1/proxies/unknown/sums":                         http.StatusConflict,
		"/v1/hosts/10.9.9.9:80/load":                       http.StatusNotFound,
		"/v1/hosts/" + strings.Repeat("x", 4000) + "/load": http.StatusNotFound,
	} {
		if got := d.post(path, `{"number":1}`); got.status != status {
			t.Errorf("%.40s: status %d, want %d", path, got.status, status)
		}
	}
}
