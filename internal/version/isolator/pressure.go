package isolator

// Parameters of the pressure model. Pressures are shares of a service's
// capacity.
const (
	// priorPressure is the pressure per core that is assumed of a pair without
	// measurements.
	priorPressure = 0.035
	// priorStdDev is the standard deviation of priorPressure.
	priorStdDev = 0.03
	// measurementStdDev is the standard deviation of one measured share.
	measurementStdDev = 0.15
	// forgettingFactor is the weight that earlier measurements keep when a new one
	// arrives, because pressures change with time.
	forgettingFactor = 0.9995
	// maxImages bounds the batch images in the regression of one service.
	maxImages = 32
)

// A PressureModel estimates which share of a service's capacity each batch
// image takes on the same host, per core that the image uses. For each service,
// recursive least squares fit all images together, so that an image is not
// blamed for the effect of others beside it. It is not safe for concurrent use.
type PressureModel struct {
	services map[string]*regression
}

// A regression estimates the pressures of all batch images on one service.
type regression struct {
	// index maps a batch image to its position in the slices.
	index map[string]int
	// pressure holds the estimated pressure per core of each image.
	pressure []float64
	// covariance is the covariance matrix of the pressures.
	covariance [][]float64
	// cores and gain are scratch space of the method learn.
	cores, gain []float64
}

// NewPressureModel returns a model without measurements.
func NewPressureModel() *PressureModel { return &PressureModel{services: make(map[string]*regression)} }

// PerCore returns the share of a service's capacity that a batch image takes
// for each core that the image uses.
func (p *PressureModel) PerCore(service, batch string) float64 {
	if f, ok := p.services[service]; ok {
		if i, ok := f.index[batch]; ok {
			return max(0, f.pressure[i])
		}
	}
	return priorPressure
}

// Learn adds a measurement: the share of its capacity that a service was
// missing while batch images used the given cores on its host.
func (p *PressureModel) Learn(service string, missing float64, cores map[string]float64) {
	f, ok := p.services[service]
	if !ok {
		f = &regression{index: make(map[string]int)}
		p.services[service] = f
	}
	f.learn(missing, cores)
}

// learn updates the pressures from one measurement by recursive least squares.
func (f *regression) learn(missing float64, cores map[string]float64) {
	for batch := range cores {
		f.addImage(batch)
	}
	clear(f.cores)
	expected := 0.0
	for batch, used := range cores {
		if i, ok := f.index[batch]; ok {
			f.cores[i] = used
			expected += f.pressure[i] * used
		}
	}
	variance := measurementStdDev * measurementStdDev
	for i, row := range f.covariance {
		f.gain[i] = 0
		for j, used := range f.cores {
			f.gain[i] += row[j] * used
		}
		variance += f.cores[i] * f.gain[i]
	}
	residual := missing - expected
	for i := range f.pressure {
		f.pressure[i] += f.gain[i] / variance * residual
	}
	f.updateCovariance(variance)
}

// updateCovariance reduces the covariance by the information of one measurement
// and then lets it grow by the forgetting factor.
func (f *regression) updateCovariance(variance float64) {
	for i, row := range f.covariance {
		for j := range row {
			row[j] -= f.gain[i] * f.gain[j] / variance
		}
		for j := range row {
			row[j] /= forgettingFactor
		}
		if row[i] > priorStdDev*priorStdDev {
			f.resetCovariance(i)
		}
	}
}

// resetCovariance resets the variance of an image to its prior, and its
// correlations to zero. Without this bound, the variance of an image that has
// not run for long would grow for ever.
func (f *regression) resetCovariance(i int) {
	for j := range f.covariance {
		f.covariance[i][j], f.covariance[j][i] = 0, 0
	}
	f.covariance[i][i] = priorStdDev * priorStdDev
}

// addImage adds a batch image with the prior pressure, unless the regression
// holds the image or maxImages images already.
func (f *regression) addImage(batch string) {
	if _, ok := f.index[batch]; ok || len(f.index) >= maxImages {
		return
	}
	i := len(f.pressure)
	f.index[batch] = i
	f.pressure = append(f.pressure, priorPressure)
	f.cores, f.gain = append(f.cores, 0), append(f.gain, 0)
	for j := range f.covariance {
		f.covariance[j] = append(f.covariance[j], 0)
	}
	f.covariance = append(f.covariance, make([]float64, i+1))
	f.covariance[i][i] = priorStdDev * priorStdDev
}

// A PressureState is the stored form of the regression of one service.
type PressureState struct {
	Service string   `json:"service"`
	Images  []string `json:"images"`
	// Press holds the estimated pressure per core of each image.
	Press []float64 `json:"press"`
	// Doubt is the covariance matrix of the pressures.
	Doubt [][]float64 `json:"doubt"`
}

// State returns the regressions of all services in the form in which they are
// stored.
func (p *PressureModel) State() []PressureState {
	list := make([]PressureState, 0, len(p.services))
	for service, f := range p.services {
		images := make([]string, len(f.pressure))
		for image, i := range f.index {
			images[i] = image
		}
		list = append(list, PressureState{Service: service, Images: images, Press: f.pressure, Doubt: f.covariance})
	}
	return list
}

// Restore loads stored regressions, replacing those of the same services. A
// stored regression whose slices differ in length or that has too many images is
// ignored.
func (p *PressureModel) Restore(list []PressureState) {
	for _, known := range list {
		n := len(known.Images)
		if len(known.Press) != n || len(known.Doubt) != n || n > maxImages {
			continue
		}
		f := &regression{
			index: make(map[string]int), pressure: known.Press, covariance: known.Doubt,
			cores: make([]float64, n), gain: make([]float64, n),
		}
		square := true
		for i, image := range known.Images {
			f.index[image] = i
			square = square && len(known.Doubt[i]) == n
		}
		if square {
			p.services[known.Service] = f
		}
	}
}
