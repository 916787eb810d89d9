package admission

import (
	"math"
	"time"
)

// decayed returns the value of x after a time of exponential decay with a half-life.
func decayed(x float64, after, halfLife time.Duration) float64 {
	if x == 0 || after <= 0 {
		return x
	}
	return x * math.Exp2(-after.Seconds()/halfLife.Seconds())
}
