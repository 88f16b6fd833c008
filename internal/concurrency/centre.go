package concurrency

const (
	// centreStep is the weight of a new sample in a centre of many samples.
	centreStep = 0.01
	// centreClip bounds the distance of a sample, as a difference of logarithms. The longest of work times that vary by a
	// factor, and servers that are slow for some seconds, hardly move a centre.
	centreClip = 0.7
	// minCentreSamples is the number of samples from which on a centre is used.
	minCentreSamples = 8
)

// centre is a moving average of logarithms that outliers hardly move.
type centre struct {
	value   float64
	samples int
}

// add adds a sample.
func (c *centre) add(sample float64) {
	c.samples++
	if c.samples == 1 {
		c.value = sample
		return
	}
	weight := max(centreStep, 1/float64(c.samples))
	c.value += weight * min(max(sample-c.value, -centreClip), centreClip)
}
