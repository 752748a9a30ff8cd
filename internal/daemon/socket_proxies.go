package daemon

import (
	"context"

	"barleysail/controller"
	"barleysail/internal/config/configpb"
	"barleysail/internal/socketproxy"
)

// startSocketDrivers starts a driver for each proxy that does not poll and is programmed by commands on its own runtime
// socket instead. The drivers end with the context; d.socketDrivers waits for them.
func (d *Daemon) startSocketDrivers(ctx context.Context, cfg *configpb.Config) {
	for _, proxy := range cfg.Sockets {
		driver := socketproxy.New(localController{d.loop}, socketproxy.Config{
			Proxy:        proxy.Proxy,
			Zone:         proxy.Zone,
			Address:      proxy.Address,
			RequestRate:  proxy.GetRate(),
			Incarnation:  d.incarnation,
			DrainGraceMs: *cfg.Guard.GraceMs,
			CyclePeriod:  milliseconds(*cfg.Fleet.PeriodMs),
			Log:          func(text string) { d.log.Info().Msg(text) },
		})
		d.socketDrivers.Go(func() { driver.Run(ctx) })
	}
}

// localController gives the socket drivers access to the controller in the same process.
type localController struct{ loop *controllerLoop }

var _ socketproxy.Controller = localController{}

// Poll implements socketproxy.Controller.
func (c localController) Poll(request controller.PollRequest, deliver func(controller.Response)) (int64, error) {
	return c.loop.poll(request, deliver)
}

// CancelPoll implements socketproxy.Controller.
func (c localController) CancelPoll(proxy string, id int64) { c.loop.cancelPoll(proxy, id) }

// ObserveProxyStats implements socketproxy.Controller.
func (c localController) ObserveProxyStats(proxy string, stats controller.ProxyStats) (counted bool, err error) {
	return c.loop.observeProxyStats(proxy, stats)
}

// NowMs implements socketproxy.Controller. It returns the time of the controller's clock in ms.
func (c localController) NowMs() float64 { return c.loop.clock.Now() }

// HasEndpoint implements socketproxy.Controller. It reports whether the host is on the endpoint list.
func (c localController) HasEndpoint(host string) bool {
	return query(c.loop, func(instance *controller.Controller) bool { return instance.HasEndpoint(host) })
}
