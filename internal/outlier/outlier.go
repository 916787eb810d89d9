// Package outlier measures the share of a backend server's runs that failed.
package outlier

const (
	// weight of the newest run: three failures in a row lift the share of a
	// good server above Limit, and three successes in a row bring the share
	// of a bad one below it.
	weight = 0.25
	// Limit is the share of failed runs from which a server is an outlier.
	Limit = 0.5
)

// FailureRate is a moving average over the last runs. The zero value has seen no
// failure. It does not fade with time: a server without work has not recovered.
type FailureRate float64

// Record takes the end of a run into the share.
func (s *FailureRate) Record(failed bool) {
	*s *= 1 - weight
	if failed {
		*s += weight
	}
}

// Outlier reports whether the share reaches Limit.
func (s FailureRate) Outlier() bool { return s >= Limit }
