package mapcontrol

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against two controllers that choose the same version for different maps: both know
// the same highest version.
func TestControllersChooseDifferentVersions(t *testing.T) {
	is := is.New(t)
	const highest, draws = int64(7<<versionBits | 3), 200
	seen := map[int64]bool{}
	for range draws {
		v := nextVersion(highest)
		is.True(v > highest|(1<<versionBits-1)) // above all that were drawn beside the highest
		is.True(v < 1<<53)
		seen[v] = true
	}
	is.True(len(seen) > draws*9/10)
}
