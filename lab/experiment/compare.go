package experiment

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Difference compares a figure of two builds over pairs of runs on the same seeds.
type Difference struct {
	Figure string  `json:"figure"`
	First  float64 `json:"first"`      // mean of the first build
	Second float64 `json:"second"`     // mean of the second build
	Mean   float64 `json:"difference"` // mean of second minus first
	// Low and High are the bounds of the difference's 95% confidence interval, by Student's t distribution over the pairs.
	// One pair gives no interval; they are -math.MaxFloat64 and math.MaxFloat64 then.
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// IsSignificant reports whether the confidence interval excludes 0.
func (d Difference) IsSignificant() bool { return d.Low > 0 || d.High < 0 }

// confidenceLevel is that of a Difference's interval.
const confidenceLevel = 0.95

// Compare returns the differences of the named figures over pairs of results: first[i] and second[i] are runs on the same seed.
// A figure that a result lacks counts as 0. Pairs in which a figure is NaN are left out, and so are figures without any pair.
func Compare(first, second []*Result, figures []string) []Difference {
	var result []Difference
	for _, name := range figures {
		var firstValues, secondValues, differences []float64
		for i := range first {
			x, y := first[i].Figures[name], second[i].Figures[name]
			if math.IsNaN(x) || math.IsNaN(y) {
				continue
			}
			firstValues, secondValues, differences = append(firstValues, x), append(secondValues, y), append(differences, y-x)
		}
		if len(differences) == 0 {
			continue
		}
		difference := Difference{Figure: name, First: stat.Mean(firstValues, nil), Second: stat.Mean(secondValues, nil)}
		difference.Mean, difference.Low, difference.High = confidenceInterval(differences)
		result = append(result, difference)
	}
	return result
}

// confidenceInterval returns a sample's mean and the bounds of the confidence interval of the mean that it estimates.
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

// ComparedFigures are the figures that `hatchlab compare` shows.
var ComparedFigures = []string{"served", "served-worst-10s", "served-after", "set-up-p50", "set-up-p99", "line-p50", "line-p99", "busy",
	"moves-share", "breaches", "tipped", "proxy-cpu", "proxy-mb"}

// Median returns the median of a sample; 0 for an empty one.
func Median(sample []float64) float64 {
	if len(sample) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(sample))
	return stat.Quantile(0.5, stat.LinInterp, sorted, nil)
}
