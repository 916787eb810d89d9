// Package standin implements test-only stand-ins for the external systems that
// coltsfootbay communicates with: the platform, a model engine, the engines of a
// model group, a plain service and the weight store.
package standin

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CrashMarker crashes a stand-in that receives a request that contains it, if
// crashing is enabled.
const CrashMarker = "CRASH"

// Token returns the text of one generated token. It depends only on the model,
// the prompt and the position, so a resumed stream continues identically on any
// engine. Every token ends in one space and contains no other.
func Token(model, prompt string, position int) string {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prompt)
	var p [8]byte
	binary.BigEndian.PutUint64(p[:], uint64(position))
	_, _ = d.Write(p[:])
	return "t" + strconv.FormatUint(d.Sum64()&0xffff, 36) + " "
}

// Text returns the concatenation of the first n tokens of an answer.
func Text(model, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(model, prompt, i))
	}
	return b.String()
}

// TokenCount returns the number of whole tokens in generated text.
func TokenCount(text string) int { return strings.Count(text, " ") }

// prefixBlock is the number of prompt bytes per block of the prefix cache.
const prefixBlock = 256

// Prefixes returns the cache keys of a prompt, shortest prefix first.
func Prefixes(model, prompt string) []uint64 {
	var keys []uint64
	for end := prefixBlock; end <= len(prompt); end += prefixBlock {
		keys = append(keys, xxhash.Sum64String(model+"\x00"+prompt[:end]))
	}
	return keys
}
