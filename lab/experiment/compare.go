package experiment

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Difference is what a figure of the second build is above the first's, over pairs of runs on the same seeds.
type Difference struct {
	Figure string  `json:"figure"`
	First  float64 `json:"first"` // the means
	Second float64 `json:"second"`
	Mean   float64 `json:"difference"`
	// Low and High bound the difference with 95% confidence, by Student's t over the pairs; with one pair they are
	// infinite.
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// IsSignificant tells whether the interval leaves 0 out.
func (d Difference) IsSignificant() bool { return d.Low > 0 || d.High < 0 }

const confidenceLevel = 0.95

// Compare takes the differences of figures over pairs of results.
func Compare(first, second []*Result, figures []string) []Difference {
	var found []Difference
	for _, name := range figures {
		var a, b, d []float64
		for i := range first {
			x, y := first[i].Figures[name], second[i].Figures[name]
			if math.IsNaN(x) || math.IsNaN(y) {
				continue
			}
			a, b, d = append(a, x), append(b, y), append(d, y-x)
		}
		if len(d) == 0 {
			continue
		}
		f := Difference{Figure: name, First: stat.Mean(a, nil), Second: stat.Mean(b, nil)}
		f.Mean, f.Low, f.High = confidenceInterval(d)
		found = append(found, f)
	}
	return found
}

// confidenceInterval is the mean of a sample and the bounds on what it estimates.
func confidenceInterval(sample []float64) (mean, low, high float64) {
	mean = stat.Mean(sample, nil)
	if len(sample) < 2 {
		return mean, -math.MaxFloat64, math.MaxFloat64
	}
	n := float64(len(sample))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(1 - (1-confidenceLevel)/2)
	half := t * stat.StdDev(sample, nil) / math.Sqrt(n)
	return mean, mean - half, mean + half
}

// ComparedFigures are the figures that a comparison tells.
var ComparedFigures = []string{"served", "served-worst-10s", "served-after", "set-up-p50", "set-up-p99", "line-p50", "line-p99", "busy",
	"moves-share", "breaches", "tipped", "proxy-cpu", "proxy-mb"}

// Median is the middle of a sample; 0 of none.
func Median(sample []float64) float64 {
	if len(sample) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(sample))
	return stat.Quantile(0.5, stat.LinInterp, sorted, nil)
}
