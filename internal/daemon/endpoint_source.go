package daemon

import (
	"context"

	"barleysail/controller"
)

// startEndpointSource connects the controller loop to the configured source of the endpoint list. If that is a file,
// the file is read before startEndpointSource returns, and the error is that of an invalid list.
func (d *Daemon) startEndpointSource(ctx context.Context) error {
	if d.config.List.File != "" {
		return d.startEndpointFile(ctx)
	}
	return d.startEndpointService(ctx)
}

func (d *Daemon) startEndpointFile(ctx context.Context) error {
	d.loop.startWatch = func() {} // nothing to start: the file is always watched
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

// endpointSink returns the function that receives the endpoint list: that of the controller or, on a standby, the one
// that stores the list until the standby is active.
func (d *Daemon) endpointSink() func([]controller.Endpoint) error {
	if d.standby != nil {
		return d.standby.setEndpoints
	}
	return d.loop.setEndpoints
}
