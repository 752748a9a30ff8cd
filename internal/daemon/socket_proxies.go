package daemon

import (
	"context"

	"barleysail/controller"
	"barleysail/internal/config/configpb"
	"barleysail/internal/socketproxy"
)

// startSocketDrivers starts a driver for each proxy that is configured by commands on its own runtime socket. The
// drivers end with the context; the caller waits for them by d.socketDrivers.
func (d *Daemon) startSocketDrivers(ctx context.Context, cfg *configpb.Config) {
	for _, proxy := range cfg.Sockets {
		driver := socketproxy.New(localController{d.loop}, socketproxy.Config{
			Proxy:   proxy.Proxy,
			Zone:    proxy.Zone,
			Address: proxy.Address,
			Rate:    proxy.GetRate(),
			Life:    d.incarnation,
			Grace:   *cfg.Guard.GraceMs,
			Period:  milliseconds(*cfg.Fleet.PeriodMs),
			Log:     func(text string) { d.log.Info().Msg(text) },
		})
		d.socketDrivers.Go(func() { driver.Run(ctx) })
	}
}

// localController lets the drivers poll the controller in the same process.
type localController struct{ loop *controllerLoop }

var _ socketproxy.Controller = localController{}

// Poll implements socketproxy.Steward.
func (c localController) Poll(request controller.PollRequest, deliver func(controller.Response)) (int64, error) {
	return c.loop.poll(request, deliver)
}

// PollGone implements socketproxy.Steward.
func (c localController) PollGone(proxy string, id int64) { c.loop.cancelPoll(proxy, id) }

// Sums implements socketproxy.Steward.
func (c localController) Sums(proxy string, stats controller.ProxyStats) (counted bool, err error) {
	return c.loop.observeProxyStats(proxy, stats)
}

// Now implements socketproxy.Steward: the time of the controller's clock in ms.
func (c localController) Now() float64 { return c.loop.clock.Now() }

// Listed implements socketproxy.Steward: whether the host is on the endpoint list.
func (c localController) Listed(host string) bool {
	return query(c.loop, func(instance *controller.Controller) bool { return instance.HasEndpoint(host) })
}
