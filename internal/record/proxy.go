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
	mu     sync.Mutex
	writer *Writer
}

func unixMs(t time.Time) float64 { return float64(t.UnixMicro()) / 1000 }

// NewProxy begins a proxy's recording. The options are those of its client.
func NewProxyRecorder(w io.Writer, program string, options client.Options) *ProxyRecorder {
	p := &ProxyRecorder{writer: NewWriter(w)}
	if options.EjectionTime == 0 {
		options.EjectionTime = client.DefaultEjectionTime
	}
	p.write(&recordpb.Record{At: unixMs(time.Now()), What: &recordpb.Record_ProxyStart{ProxyStart: &recordpb.ProxyStart{
		Format: Format, Program: program, Proxy: options.Proxy, Zone: options.Zone, Ejects: int32(options.EjectAfterFailures),
		Shuns: options.EjectionTime.Seconds() * 1000, Repeats: options.IdempotentClasses}}})
	return p
}

func (p *ProxyRecorder) write(record *recordpb.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writer.Write(record)
}

// Ended records a transaction.
func (p *ProxyRecorder) RecordRequest(request client.Request) {
	recorded := &recordpb.Transaction{Class: request.Class, Came: unixMs(request.ArrivedAt), LetIn: request.Admitted, Fulfilled: request.Fulfilled}
	for _, attempt := range request.Attempts {
		recorded.Tries = append(recorded.Tries, &recordpb.Try{At: unixMs(attempt.StartedAt), Host: attempt.Host, Took: attempt.Duration.Seconds() * 1000,
			Result: int32(attempt.Result)})
	}
	p.write(&recordpb.Record{At: unixMs(time.Now()), What: &recordpb.Record_Transaction{Transaction: recorded}})
}

// Applied records that the proxy goes by other tables.
func (p *ProxyRecorder) RecordTables(tag string) {
	p.write(&recordpb.Record{At: unixMs(time.Now()), What: &recordpb.Record_Applied{Applied: tag}})
}

// Close ends the recording.
func (p *ProxyRecorder) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writer.Close()
}
