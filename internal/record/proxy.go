package record

import (
	"io"
	"sync"
	"time"

	"barleysail/client"
	"barleysail/internal/record/recordpb"
)

// ProxyRecorder records the requests of a proxy and the table versions that it applies. Its methods may be called from
// any goroutine; RecordRequest and RecordTables are callbacks for the options of a client.
type ProxyRecorder struct {
	mu     sync.Mutex
	writer *Writer
}

func unixMs(t time.Time) float64 { return float64(t.UnixMicro()) / 1000 }

// NewProxyRecorder starts the recording of a proxy with the options of its client.
func NewProxyRecorder(w io.Writer, program string, options client.Options) *ProxyRecorder {
	p := &ProxyRecorder{writer: NewWriter(w)}
	if options.EjectionTime == 0 {
		options.EjectionTime = client.DefaultEjectionTime
	}
	p.write(&recordpb.Record{At: unixMs(time.Now()), What: &recordpb.Record_ProxyStart{ProxyStart: &recordpb.ProxyStart{
		Format:  Format,
		Program: program,
		Proxy:   options.Proxy,
		Zone:    options.Zone,
		Ejects:  int32(options.EjectAfterFailures),
		Shuns:   options.EjectionTime.Seconds() * 1000,
		Repeats: options.IdempotentClasses,
	}}})
	return p
}

func (p *ProxyRecorder) write(record *recordpb.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.writer.Write(record) // Close returns the error
}

// RecordRequest records a request that has ended.
func (p *ProxyRecorder) RecordRequest(request client.Request) {
	recorded := &recordpb.Transaction{
		Class:     request.Class,
		Came:      unixMs(request.ArrivedAt),
		LetIn:     request.Admitted,
		Fulfilled: request.Fulfilled,
	}
	for _, attempt := range request.Attempts {
		recorded.Tries = append(recorded.Tries, &recordpb.Try{
			At:     unixMs(attempt.StartedAt),
			Host:   attempt.Host,
			Took:   attempt.Duration.Seconds() * 1000,
			Result: int32(attempt.Result),
		})
	}
	p.write(&recordpb.Record{At: unixMs(time.Now()), What: &recordpb.Record_Transaction{Transaction: recorded}})
}

// RecordTables records the table version that the proxy uses from now on.
func (p *ProxyRecorder) RecordTables(tag string) {
	p.write(&recordpb.Record{At: unixMs(time.Now()), What: &recordpb.Record_Applied{Applied: tag}})
}

// Close completes the recording.
func (p *ProxyRecorder) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writer.Close()
}
