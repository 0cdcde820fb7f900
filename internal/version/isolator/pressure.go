package isolator

// Figures of the learning of pressures, in shares of a service's capacity.
const (
	// priorPressure is assumed of a pair that was never measured, per core.
	priorPressure = 0.035
	// priorDoubt is the standard deviation of that assumption.
	priorDoubt = 0.03
	// tailDoubt is the standard deviation of one measured share.
	tailDoubt = 0.15
	// keptEvidence is the share of what was learnt that one measurement keeps:
	// pressures change with time.
	keptEvidence = 0.9995
	// maxImages bounds the batch images learnt of for one service.
	maxImages = 32
)

// A PressureModel estimates which share of a service's capacity batch images take
// on the same host, per core that they use. It fits the images of each service
// together, by recursive least squares, so that an image is not blamed for what
// others beside it cause. It is not safe for concurrent use.
type PressureModel struct {
	fits map[string]*fit
}

// A fit is the regression of one service.
type fit struct {
	index    map[string]int
	pressure []float64
	// doubt is the covariance of the pressures.
	doubt [][]float64
	// cores and gain are scratch space of Learn.
	cores, gain []float64
}

// NewPressureModel returns estimates of nothing yet.
func NewPressureModel() *PressureModel { return &PressureModel{fits: make(map[string]*fit)} }

// PerCore returns the share of a service's capacity that a batch image takes per
// core that it uses.
func (p *PressureModel) PerCore(service, batch string) float64 {
	if f, ok := p.fits[service]; ok {
		if i, ok := f.index[batch]; ok {
			return max(0, f.pressure[i])
		}
	}
	return priorPressure
}

// Learn takes in the share that a service lacked beside the cores used by
// batch image.
func (p *PressureModel) Learn(service string, lacked float64, cores map[string]float64) {
	f, ok := p.fits[service]
	if !ok {
		f = &fit{index: make(map[string]int)}
		p.fits[service] = f
	}
	f.learn(lacked, cores)
}

func (f *fit) learn(lacked float64, cores map[string]float64) {
	for batch := range cores {
		f.add(batch)
	}
	clear(f.cores)
	expected := 0.0
	for batch, used := range cores {
		if i, ok := f.index[batch]; ok {
			f.cores[i] = used
			expected += f.pressure[i] * used
		}
	}
	variance := tailDoubt * tailDoubt
	for i, row := range f.doubt {
		f.gain[i] = 0
		for j, used := range f.cores {
			f.gain[i] += row[j] * used
		}
		variance += f.cores[i] * f.gain[i]
	}
	miss := lacked - expected
	for i := range f.pressure {
		f.pressure[i] += f.gain[i] / variance * miss
	}
	f.narrow(variance)
}

// narrow lowers the doubt by one measurement and lets it grow with time.
func (f *fit) narrow(variance float64) {
	for i, row := range f.doubt {
		for j := range row {
			row[j] -= f.gain[i] * f.gain[j] / variance
		}
		for j := range row {
			row[j] /= keptEvidence
		}
		if row[i] > priorDoubt*priorDoubt {
			f.forget(i)
		}
	}
}

// forget bounds the doubt of an image that was not seen for long.
func (f *fit) forget(i int) {
	for j := range f.doubt {
		f.doubt[i][j], f.doubt[j][i] = 0, 0
	}
	f.doubt[i][i] = priorDoubt * priorDoubt
}

// add makes room for a batch image.
func (f *fit) add(batch string) {
	if _, ok := f.index[batch]; ok || len(f.index) >= maxImages {
		return
	}
	i := len(f.pressure)
	f.index[batch] = i
	f.pressure = append(f.pressure, priorPressure)
	f.cores, f.gain = append(f.cores, 0), append(f.gain, 0)
	for j := range f.doubt {
		f.doubt[j] = append(f.doubt[j], 0)
	}
	f.doubt = append(f.doubt, make([]float64, i+1))
	f.doubt[i][i] = priorDoubt * priorDoubt
}

// A PressureState is what a Pressures knows of one service, in a form to be kept.
type PressureState struct {
	Service string      `json:"service"`
	Images  []string    `json:"images"`
	Press   []float64   `json:"press"`
	Doubt   [][]float64 `json:"doubt"`
}

// State returns what is known.
func (p *PressureModel) State() []PressureState {
	list := make([]PressureState, 0, len(p.fits))
	for service, f := range p.fits {
		images := make([]string, len(f.pressure))
		for image, i := range f.index {
			images[i] = image
		}
		list = append(list, PressureState{Service: service, Images: images, Press: f.pressure, Doubt: f.doubt})
	}
	return list
}

// Restore takes over what another Pressures knew. Parts that don't fit together
// are left out.
func (p *PressureModel) Restore(list []PressureState) {
	for _, known := range list {
		n := len(known.Images)
		if len(known.Press) != n || len(known.Doubt) != n || n > maxImages {
			continue
		}
		f := &fit{
			index: make(map[string]int), pressure: known.Press, doubt: known.Doubt,
			cores: make([]float64, n), gain: make([]float64, n),
		}
		square := true
		for i, image := range known.Images {
			f.index[image] = i
			square = square && len(known.Doubt[i]) == n
		}
		if square {
			p.fits[known.Service] = f
		}
	}
}
