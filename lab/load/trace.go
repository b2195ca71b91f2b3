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

// traceHeader is the first line of a trace file; its number is the version of the format. A line for each arrival follows, in
// the order of time, with the columns at (microseconds from the run's start), product (its name), group (hexadecimal,
// 0 for none), key (hexadecimal) and life (how long the client wants to be connected, in microseconds). Lines that begin
// with # and empty lines are skipped.
const traceHeader = "hatchlab-trace 1"

// WriteTrace writes arrivals in the trace format. It returns the first error of w.
func WriteTrace(w io.Writer, arrivals []Arrival, products []Product) error {
	out := bufio.NewWriter(w)
	fmt.Fprintln(out, traceHeader)
	fmt.Fprintln(out, "# at_us product group key life_us")
	for _, a := range arrivals {
		fmt.Fprintf(out, "%d %s %x %x %d\n", a.At, products[a.Product].Name, a.Group, a.Key, a.Lifetime)
	}
	return out.Flush()
}

// Bounds of a trace file: the number of its arrivals, and the bytes of a line.
const (
	maxTraceArrivals = 10_000_000
	maxTraceLine     = 4096
)

// ReadTrace reads arrivals in the trace format. An error begins with the file's name and the number of the line; no arrivals are
// returned with it.
func ReadTrace(r io.Reader, name string, products []Product) ([]Arrival, error) {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, maxTraceLine), maxTraceLine)
	var arrivals []Arrival
	lineNumber := 0
	fail := func(err error) ([]Arrival, error) { return nil, fmt.Errorf("%s:%d: %w", name, lineNumber, err) }
	for in.Scan() {
		lineNumber++
		line := in.Text()
		switch {
		case lineNumber == 1:
			if line != traceHeader {
				return fail(fmt.Errorf("the first line is not %q", traceHeader))
			}
		case line == "" || line[0] == '#':
		default:
			a, err := parseArrival(line, products)
			if err != nil {
				return fail(err)
			}
			if len(arrivals) > 0 && a.At < arrivals[len(arrivals)-1].At {
				return fail(errors.New("the time is before that of the line above"))
			}
			if len(arrivals) == maxTraceArrivals {
				return fail(fmt.Errorf("more than %d arrivals", maxTraceArrivals))
			}
			arrivals = append(arrivals, a)
		}
	}
	if err := in.Err(); err != nil {
		lineNumber++
		return fail(err)
	}
	if lineNumber == 0 {
		lineNumber = 1
		return fail(errors.New("the file is empty"))
	}
	return arrivals, nil
}

// parseArrival parses the line of an arrival.
func parseArrival(line string, products []Product) (Arrival, error) {
	var a Arrival
	columns := strings.Fields(line)
	if len(columns) != 5 {
		return a, fmt.Errorf("%d columns instead of 5: at product group key life", len(columns))
	}
	a.Product = slices.IndexFunc(products, func(p Product) bool { return p.Name == columns[1] })
	if a.Product < 0 {
		return a, fmt.Errorf("unknown product %.40q", columns[1])
	}
	for _, column := range []struct {
		name, word string
		base       int
		set        func(uint64)
	}{
		{"at", columns[0], 10, func(x uint64) { a.At = Micros(x) }}, {"group", columns[2], 16, func(x uint64) { a.Group = x }},
		{"key", columns[3], 16, func(x uint64) { a.Key = x }}, {"life", columns[4], 10, func(x uint64) { a.Lifetime = Micros(x) }},
	} {
		bits := 64
		if column.base == 10 {
			bits = 62 // neither a time nor the sum of two may overflow to a negative value
		}
		x, err := strconv.ParseUint(column.word, column.base, bits)
		if err != nil {
			return a, fmt.Errorf("%s: %.40q is not a valid number", column.name, column.word)
		}
		column.set(x)
	}
	return a, nil
}
