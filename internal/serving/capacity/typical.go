package capacity

import "math"

const (
	// typicalValues is the number of values of which the typical time of a service
	// is a quantile, typicalMin the least, and typicalRefresh the number of new
	// values after which it is computed anew.
	typicalValues  = 96
	typicalMin     = 12
	typicalRefresh = 8
)

// typical is what the servers of a service usually take. Each server adds at most
// one value for each cell, kind and band, so that the busiest ones count little
// more than the others.
type typical struct {
	values [Kinds][bands]values
}

// values are the newest values of one kind and band.
type values struct {
	ring  []float64
	next  int
	fresh int
	usual float64
	known bool
}

func (t *Table) typical(service string) *typical {
	known := t.services[service]
	if known == nil {
		known = &typical{}
		t.services[service] = known
	}
	return known
}

func (t *typical) add(e entry) {
	v := &t.values[e.kind][e.band]
	if len(v.ring) < typicalValues {
		v.ring = append(v.ring, float64(e.log))
	} else {
		v.ring[v.next] = float64(e.log)
		v.next = (v.next + 1) % typicalValues
	}
	if v.fresh++; len(v.ring) >= typicalMin && (!v.known || v.fresh >= typicalRefresh) {
		v.usual, v.known, v.fresh = lowQuantileOf(append([]float64(nil), v.ring...)), true, 0
	}
}

// at returns the logarithm of the usual time in seconds at a band. A server is not
// faster the more it runs: if few requests look slower than many, it is since
// mostly slow servers have few. A band without values gets those of the next one.
func (t *typical) at(kind Kind, band int) (float64, bool) {
	lowest, known := math.Inf(1), false
	for _, v := range t.values[kind][band:] {
		if v.known {
			lowest, known = min(lowest, v.usual), true
		}
	}
	for lower := band - 1; lower >= 0 && !known; lower-- {
		if v := t.values[kind][lower]; v.known {
			lowest, known = v.usual, true
		}
	}
	return lowest, known
}

// slope returns by how much the typical server's logarithm grows from the lowest
// band to a band.
func (t *typical) slope(band int) float64 {
	for _, kind := range []Kind{Step, Whole} {
		base, ok := t.at(kind, 0)
		if !ok {
			continue
		}
		log, _ := t.at(kind, band)
		return log - base
	}
	return 0
}
