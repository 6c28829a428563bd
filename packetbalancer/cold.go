package packetbalancer

import (
	"time"

	"cactustray/flow"
)

// maxColdInterval bounds the interval between two flows that this balancer places at a cold
// endpoint: no endpoint is cold for longer.
const maxColdInterval = time.Hour

// coldRates returns how many new flows a second a cold endpoint of each service can take.
func (b *tableBuilder) coldRates() map[string]float64 {
	if b.rates == nil {
		b.rates = make(map[string]float64)
		for _, service := range b.state.directory.Desired().Services {
			b.rates[service.Name] = service.ColdRate
		}
	}
	return b.rates
}

// coldInterval returns the interval at which this balancer places flows at a cold endpoint of a
// service: its share of the rate, by the number of balancers in use. It is 0 if the rate is not
// limited.
func (b *tableBuilder) coldInterval(service string) time.Duration {
	packets := b.state.settings.Packets
	rate := b.coldRates()[service]
	if _, limited := (flow.ColdLimit{Rate: rate, Excess: packets.ColdExcess, Slack: packets.ColdSlack}).Flows(); !limited {
		return 0
	}
	balancers := 1 + len(b.state.schedule.Peers(b.now))
	return time.Duration(min(float64(balancers)/rate*float64(time.Second), float64(maxColdInterval)))
}
