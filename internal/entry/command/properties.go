package command

import (
	"strconv"

	"github.com/coltsfootbay/coltsfootbay/internal/quarantine"
	"github.com/coltsfootbay/coltsfootbay/internal/routing"
)

// allPrefixes is the number of blocks up to which each prefix of a prompt is a property. Of
// the longer ones, only those with a power of two of blocks are, which bounds their number.
const allPrefixes = 32

// Properties returns the fingerprints of what a completion has in common with others: its
// adapter and the prefixes of its prompt, in whole blocks of routing.PrefixHashes.
func Properties(c Completion) []uint64 {
	var out []uint64
	if c.Adapter != "" {
		out = append(out, quarantine.PropertyFingerprint("adapter", c.Model+"\x00"+c.Adapter))
	}
	for i, hash := range routing.PrefixHashes(c.Model, c.Prompt) {
		blocks := i + 1
		if blocks <= allPrefixes || blocks&(blocks-1) == 0 {
			out = append(out, quarantine.PropertyFingerprint("prefix", strconv.FormatUint(hash, 16)))
		}
	}
	return out
}
