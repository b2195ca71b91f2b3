package experiment

import "fmt"

// Cost is what a proxy's own path takes with so many connections standing, as ratios of a bare relay's.
type Cost struct {
	Standing int     `json:"standing"`
	SetUp    float64 `json:"set_up"`
	Line     float64 `json:"line"`
	CPU      float64 `json:"cpu_a_line"`
	Memory   float64 `json:"memory_a_connection"`
}

// Words tells it in a line.
func (c Cost) Words() string {
	return fmt.Sprintf("set-up %.2f, a line %.2f, CPU a line %.2f, memory a connection %.2f", c.SetUp, c.Line, c.CPU, c.Memory)
}
