package slopes

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/kumquatstack/kumquatstack/internal/experiment/gauger"
	"github.com/kumquatstack/kumquatstack/internal/process/counter"
)

// kilobyte is the unit of traffic, megabyte that of memory.
const (
	kilobyte = 1000
	megabyte = 1 << 20
)

// A fit is a straight line that is fitted to measured points; base is the line's
// value at size zero.
type fit struct {
	base  float64
	slope float64
}

// at returns the line's value at a size.
func (f fit) at(size float64) float64 { return f.base + f.slope*size }

// fitLine returns the line with the least squared error. It is flat if all sizes are
// equal.
func fitLine(sizes, values []float64) fit {
	n := float64(len(sizes))
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range sizes {
		sumX += x
		sumY += values[i]
		sumXX += x * x
		sumXY += x * values[i]
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return fit{base: sumY / n}
	}
	slope := (n*sumXY - sumX*sumY) / spread
	return fit{base: (sumY - slope*sumX) / n, slope: slope}
}

// A column is one measured quantity.
type column struct {
	name  string
	value func(r gauger.Rate) float64
}

// columns are the quantities that the report shows.
var columns = []column{
	{"CPU %", func(r gauger.Rate) float64 { return r.CPUPercent }},
	{"memory MB", func(r gauger.Rate) float64 { return r.MemoryBytes / megabyte }},
	{"KB/s", func(r gauger.Rate) float64 { return r.BytesPerSecond() / kilobyte }},
	{"store KB/s", func(r gauger.Rate) float64 { return r.PerSecond[counter.StoreBytes] / kilobyte }},
	{"workers KB/s", func(r gauger.Rate) float64 { return r.PerSecond[counter.WorkerBytes] / kilobyte }},
	{"store calls/s", func(r gauger.Rate) float64 { return r.StoreCalls() }},
	{"store writes/s", func(r gauger.Rate) float64 { return r.PerSecond[counter.StoreWrites] }},
}

// Report prints the points of a series and, for each column, the slope of the line
// that is fitted to the points, for 1000 units of size, and the line's value at the
// target.
func Report(out io.Writer, series Series, points []Point) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	printRow := func(label string, value func(c column) float64) {
		// The writer keeps its first error, which Flush returns.
		_, _ = fmt.Fprintf(table, "%s\t", label)
		for _, c := range columns {
			_, _ = fmt.Fprintf(table, "%.2f\t", value(c))
		}
		_, _ = fmt.Fprintln(table)
	}
	_, _ = fmt.Fprintf(table, "%s\t", series.Name)
	for _, c := range columns {
		_, _ = fmt.Fprintf(table, "%s\t", c.name)
	}
	_, _ = fmt.Fprintln(table)
	sizes := make([]float64, len(points))
	for i, point := range points {
		sizes[i] = series.Size(point.Load)
		printRow(fmt.Sprintf("%g", sizes[i]), func(c column) float64 { return c.value(point.rate) })
	}
	fits := func(c column) fit {
		values := make([]float64, len(points))
		for i, point := range points {
			values[i] = c.value(point.rate)
		}
		return fitLine(sizes, values)
	}
	printRow("slope x1000", func(c column) float64 { return 1000 * fits(c).slope })
	printRow(fmt.Sprintf("fit at %g", series.Target), func(c column) float64 { return fits(c).at(series.Target) })
	_, _ = fmt.Fprintln(table)
	return table.Flush()
}
