package daemon

import (
	"context"

	"barleysail/controller"
)

// startEndpointSource connects the controller loop to the configured source of the endpoint list. A list file is
// read before it returns, and has to be valid.
func (d *Daemon) startEndpointSource(ctx context.Context) error {
	if d.config.List.File != "" {
		return d.startEndpointFile(ctx)
	}
	return d.startEndpointService(ctx)
}

func (d *Daemon) startEndpointFile(ctx context.Context) error {
	d.loop.startWatch = func() {} // the file is watched all the time
	file := &endpointFile{path: d.config.List.File, log: d.log, publish: d.endpointSink()}
	if err := file.reload(); err != nil {
		return err
	}
	d.background.Go(func() { file.watch(ctx) })
	return nil
}

func (d *Daemon) startEndpointService(ctx context.Context) error {
	settings := d.config.List
	service, err := newEndpointService(settings.Url, d.credentials != nil, milliseconds(*settings.WaitMs))
	if err != nil {
		return err
	}
	service.ctx = ctx
	service.log = d.log
	service.publish = d.endpointSink()
	service.reportFailure = d.loop.observeWatchFailure
	service.client.TLS = d.clientTLS(settings.Id)
	d.endpoints = service
	d.httpClients = append(d.httpClients, service.client)
	d.loop.startWatch = service.startWatch
	return nil
}

// endpointSink is what receives the endpoint list: the controller, or the standby that holds the list back until it
// is active.
func (d *Daemon) endpointSink() func([]controller.Endpoint) error {
	if d.standby != nil {
		return d.standby.setEndpoints
	}
	return d.loop.setEndpoints
}
