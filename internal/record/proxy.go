package record

import (
	"io"
	"sync"
	"time"

	"barleysail/client"
	"barleysail/internal/record/recordpb"
)

// Proxy records what a proxy did. Its methods may be called from any goroutine; Ended and Applied are made to be
// a client's options.
type ProxyRecorder struct {
	mu sync.Mutex
	w  *Writer
}

func unixMs(t time.Time) float64 { return float64(t.UnixMicro()) / 1000 }

// NewProxy begins a proxy's recording. The options are those of its client.
func NewProxyRecorder(w io.Writer, program string, o client.Options) *ProxyRecorder {
	p := &ProxyRecorder{w: NewWriter(w)}
	if o.EjectionTime == 0 {
		o.EjectionTime = client.DefaultEjectionTime
	}
	p.write(&recordpb.Record{At: unixMs(time.Now()), What: &recordpb.Record_ProxyStart{ProxyStart: &recordpb.ProxyStart{
		Format: Format, Program: program, Proxy: o.Proxy, Zone: o.Zone, Ejects: int32(o.EjectAfterFailures),
		Shuns: o.EjectionTime.Seconds() * 1000, Repeats: o.IdempotentClasses}}})
	return p
}

func (p *ProxyRecorder) write(r *recordpb.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.w.Write(r)
}

// Ended records a transaction.
func (p *ProxyRecorder) RecordRequest(x client.Request) {
	t := &recordpb.Transaction{Class: x.Class, Came: unixMs(x.ArrivedAt), LetIn: x.Admitted, Fulfilled: x.Fulfilled}
	for _, a := range x.Attempts {
		t.Tries = append(t.Tries, &recordpb.Try{At: unixMs(a.StartedAt), Host: a.Host, Took: a.Duration.Seconds() * 1000,
			Result: int32(a.Result)})
	}
	p.write(&recordpb.Record{At: unixMs(time.Now()), What: &recordpb.Record_Transaction{Transaction: t}})
}

// Applied records that the proxy goes by other tables.
func (p *ProxyRecorder) RecordTables(tag string) {
	p.write(&recordpb.Record{At: unixMs(time.Now()), What: &recordpb.Record_Applied{Applied: tag}})
}

// Close ends the recording.
func (p *ProxyRecorder) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.w.Close()
}
