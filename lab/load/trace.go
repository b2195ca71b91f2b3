package load

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// traceHeader is a trace's first line; the number is the format's version. Then comes a line for each arrival, in the
// order of time: at, in microseconds from the start; the product's name; the group, 0 for none, and the key, both in
// hexadecimal; how long the client wants to be connected, in microseconds. Lines that begin with # and empty ones
// are passed over.
const traceHeader = "hatchlab-trace 1"

// WriteTrace writes arrivals down.
func WriteTrace(w io.Writer, arrivals []Arrival, products []Product) error {
	out := bufio.NewWriter(w)
	fmt.Fprintln(out, traceHeader)
	fmt.Fprintln(out, "# at_us product group key life_us")
	for _, a := range arrivals {
		fmt.Fprintf(out, "%d %s %x %x %d\n", a.At, products[a.Product].Name, a.Group, a.Key, a.Lifetime)
	}
	return out.Flush()
}

// mostArrivals bounds what a trace may hold; longestLine what a line of it may.
const (
	maxTraceArrivals = 10_000_000
	maxTraceLine     = 4096
)

// ReadTrace reads what WriteTrace wrote. What is wrong is told with its line, and nothing is returned then.
func ReadTrace(r io.Reader, name string, products []Product) ([]Arrival, error) {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, maxTraceLine), maxTraceLine)
	var found []Arrival
	number := 0
	wrong := func(why error) ([]Arrival, error) { return nil, fmt.Errorf("%s:%d: %w", name, number, why) }
	for in.Scan() {
		number++
		line := in.Text()
		switch {
		case number == 1:
			if line != traceHeader {
				return wrong(fmt.Errorf("a trace begins with %q", traceHeader))
			}
		case line == "" || line[0] == '#':
		default:
			a, err := parseArrival(line, products)
			if err != nil {
				return wrong(err)
			}
			if len(found) > 0 && a.At < found[len(found)-1].At {
				return wrong(errors.New("it comes before the line above"))
			}
			if len(found) == maxTraceArrivals {
				return wrong(fmt.Errorf("more than %d arrivals", maxTraceArrivals))
			}
			found = append(found, a)
		}
	}
	if err := in.Err(); err != nil {
		number++
		return wrong(err)
	}
	if number == 0 {
		number = 1
		return wrong(errors.New("it is empty"))
	}
	return found, nil
}

func parseArrival(line string, products []Product) (Arrival, error) {
	var a Arrival
	words := strings.Fields(line)
	if len(words) != 5 {
		return a, fmt.Errorf("%d words, and not the five: at product group key life", len(words))
	}
	a.Product = slices.IndexFunc(products, func(p Product) bool { return p.Name == words[1] })
	if a.Product < 0 {
		return a, fmt.Errorf("the product %.40q is unknown", words[1])
	}
	for _, part := range []struct {
		name, word string
		base       int
		into       func(uint64)
	}{
		{"at", words[0], 10, func(x uint64) { a.At = Micros(x) }}, {"group", words[2], 16, func(x uint64) { a.Group = x }},
		{"key", words[3], 16, func(x uint64) { a.Key = x }}, {"life", words[4], 10, func(x uint64) { a.Lifetime = Micros(x) }},
	} {
		bits := 64
		if part.base == 10 {
			bits = 62 // a time must not turn out below 0, nor two of them together
		}
		x, err := strconv.ParseUint(part.word, part.base, bits)
		if err != nil {
			return a, fmt.Errorf("%s: %.40q is no such number", part.name, part.word)
		}
		part.into(x)
	}
	return a, nil
}
