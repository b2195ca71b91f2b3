// Package load generates the traffic of an experiment: an open-loop load whose arrivals are drawn in advance and sent on
// schedule, however slowly the proxies answer, and clients that follow the protocol. Latencies are measured from the
// time at which something was scheduled to be sent, so that a stall is counted in full.
package load

import (
	"math"
	"math/rand/v2"

	"hatchproxy/lab/ledger"
)

// Micros is a time or a duration in whole microseconds.
type Micros = ledger.Micros

// Arrival is a client that wants to be connected for some time.
type Arrival struct {
	At       Micros // when the client is to ask for a connection, from the start of the run
	Product  int    // index in the list of products
	Group    uint64 // 0 if none
	Key      uint64 // identifies the client over its connections
	Lifetime Micros // how long the client wants to be connected, from At on
}

// RatePoint is the arrival rate at one time. Between two points the rate is interpolated linearly.
type RatePoint struct {
	At   Micros
	Rate float64 // arrivals per second
}

// Product holds the properties of a product that the clients need.
type Product struct {
	Name              string
	Share             float64 // of the arrivals, relative to the other products' shares
	MeanLifetime      Micros  // how long clients want to be connected
	QuotedSetUpTime   Micros  // a connection set up within this time counts as served from the start
	HardLimit         Micros  // from a request to its final answer
	QuotedMessageTime Micros  // a message answered within this time counts as served
	Gain              float64 // weight of a second of service
}

// Groups describes the groups that clients belong to: a client's group is drawn from Count groups by Zipf's law. A Count
// of 0 means that clients have no group.
type Groups struct {
	Count        int
	ZipfExponent float64
}

// rateAt returns the rate at a time, in arrivals per second.
func rateAt(points []RatePoint, at Micros) float64 {
	for i, next := range points {
		if at < next.At {
			if i == 0 {
				return next.Rate
			}
			previous := points[i-1]
			return previous.Rate + (next.Rate-previous.Rate)*float64(at-previous.At)/float64(next.At-previous.At)
		}
	}
	return points[len(points)-1].Rate
}

// DrawArrivals draws the arrivals of a run from a Poisson process whose rate follows the given points. Equal seeds give equal
// arrivals.
func DrawArrivals(points []RatePoint, length Micros, products []Product, groups Groups, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 0xa441ba1))
	var zipf *rand.Zipf
	if groups.Count > 0 {
		zipf = rand.NewZipf(rng, math.Max(1.01, groups.ZipfExponent), 1, uint64(groups.Count-1))
	}
	var drawn []Arrival
	const step = ledger.Millisecond // the rate is taken as constant within it: no shape changes faster
	remaining := rng.ExpFloat64()
	for at := Micros(0); at < length; at += step {
		rate := rateAt(points, at)
		for elapsed := 0.0; ; {
			expected := rate * float64(step) / 1e6
			if remaining > expected-elapsed {
				remaining -= expected - elapsed
				break
			}
			elapsed += remaining
			remaining = rng.ExpFloat64()
			a := Arrival{At: at + Micros(elapsed/expected*float64(step)), Key: rng.Uint64() | 1, Product: chooseProduct(products, rng.Float64())}
			if zipf != nil {
				a.Group = zipf.Uint64() + 1
			}
			a.Lifetime = Micros(rng.ExpFloat64() * float64(products[a.Product].MeanLifetime))
			drawn = append(drawn, a)
		}
	}
	return drawn
}

// chooseProduct returns the index of the product in whose range x, from 0 to 1, lies when the shares are laid end to end.
func chooseProduct(products []Product, x float64) int {
	total := 0.0
	for _, p := range products {
		total += p.Share
	}
	x *= total
	for i, p := range products {
		if x -= p.Share; x < 0 {
			return i
		}
	}
	return len(products) - 1
}

// PermanentArrivals returns count clients that arrive evenly over a time and stay to the end of the run. They make the
// connections that are established before a measurement.
func PermanentArrivals(count int, over Micros, product int, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 0xc40fd))
	arrivals := make([]Arrival, count)
	for i := range arrivals {
		arrivals[i] = Arrival{At: over * Micros(i) / Micros(count), Product: product, Key: rng.Uint64() | 1, Lifetime: math.MaxInt32 * ledger.Second}
	}
	return arrivals
}
