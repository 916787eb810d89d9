// Package outlier measures a backend server's failure rate, the fraction of its
// runs that failed, and decides from it whether the server is an outlier.
package outlier

const (
	// latestWeight is the weight of the latest run in the moving average: three
	// failures in a row raise the rate of a healthy server above Threshold, and
	// three successes in a row lower the rate of a failing one below it.
	latestWeight = 0.25
	// Threshold is the failure rate at and above which a server is an outlier.
	Threshold = 0.5
)

// FailureRate is an exponentially weighted moving average of failed runs, from 0
// to 1. The zero value stands for no failures. It does not decay with time,
// because a server without work has not shown that it has recovered.
type FailureRate float64

// Record adds the result of a run to the rate.
func (s *FailureRate) Record(failed bool) {
	*s *= 1 - latestWeight
	if failed {
		*s += latestWeight
	}
}

// Outlier reports whether the rate is at least Threshold.
func (s FailureRate) Outlier() bool { return s >= Threshold }
