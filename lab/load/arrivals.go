// Package load makes the traffic of a run: arrivals drawn ahead and sent on schedule whatever the proxies do, and
// clients that keep to the protocol. Latency counts from the time at which something was meant to be sent.
package load

import (
	"math"
	"math/rand/v2"

	"hatchproxy/lab/ledger"
)

type Micros = ledger.Micros

// Arrival is a client that wants a connection from a time on, for a while.
type Arrival struct {
	At       Micros
	Product  int
	Group    uint64 // 0 if none
	Key      uint64
	Lifetime Micros // how long it wants to be connected, from At on
}

// RatePoint is a point of a shape: the rate at that time, in arrivals a second. Between two points it goes evenly.
type RatePoint struct {
	At   Micros
	Rate float64
}

// Product is what the load needs to know of a product.
type Product struct {
	Name              string
	Share             float64
	MeanLifetime      Micros // the mean
	QuotedSetUpTime   Micros // a set-up within this earns the full gain
	HardLimit         Micros // the hard limit
	QuotedMessageTime Micros // the quoted time of a message
	Gain              float64
}

// Groups are what clients belong to: drawn by Zipf's law, of this many and with this exponent.
type Groups struct {
	Count        int
	ZipfExponent float64
}

// At is the rate at a time.
func rateAt(bends []RatePoint, at Micros) float64 {
	for i, b := range bends {
		if at < b.At {
			if i == 0 {
				return b.Rate
			}
			a := bends[i-1]
			return a.Rate + (b.Rate-a.Rate)*float64(at-a.At)/float64(b.At-a.At)
		}
	}
	return bends[len(bends)-1].Rate
}

// DrawArrivals draws the arrivals of a run: a Poisson process whose rate follows the bends. The same seed gives the same.
func DrawArrivals(bends []RatePoint, length Micros, products []Product, groups Groups, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 0xa441ba1))
	var zipf *rand.Zipf
	if groups.Count > 0 {
		zipf = rand.NewZipf(rng, math.Max(1.01, groups.ZipfExponent), 1, uint64(groups.Count-1))
	}
	var drawn []Arrival
	const step = ledger.Millisecond // a bend is never steeper than can be seen in this
	left := rng.ExpFloat64()
	for at := Micros(0); at < length; at += step {
		rate := rateAt(bends, at)
		for had := 0.0; ; {
			part := rate * float64(step) / 1e6
			if left > part-had {
				left -= part - had
				break
			}
			had += left
			left = rng.ExpFloat64()
			a := Arrival{At: at + Micros(had/part*float64(step)), Key: rng.Uint64() | 1, Product: chooseProduct(products, rng.Float64())}
			if zipf != nil {
				a.Group = zipf.Uint64() + 1
			}
			a.Lifetime = Micros(rng.ExpFloat64() * float64(products[a.Product].MeanLifetime))
			drawn = append(drawn, a)
		}
	}
	return drawn
}

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

// PermanentArrivals is so many clients that come evenly over a while and stay for good: what stands before a measurement.
func PermanentArrivals(count int, over Micros, product int, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 0xc40fd))
	crowd := make([]Arrival, count)
	for i := range crowd {
		crowd[i] = Arrival{At: over * Micros(i) / Micros(count), Product: product, Key: rng.Uint64() | 1, Lifetime: math.MaxInt32 * ledger.Second}
	}
	return crowd
}
