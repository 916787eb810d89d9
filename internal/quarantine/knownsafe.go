package quarantine

// fingerprintsPerGeneration bounds the fingerprints of a generation. Two
// generations take about 400 KiB.
const fingerprintsPerGeneration = 4096

// knownSafe holds the fingerprints of recently completed requests. When the
// current generation is full, it replaces the previous one.
type knownSafe struct{ current, previous map[uint64]struct{} }

func newKnownSafe() knownSafe { return knownSafe{current: map[uint64]struct{}{}} }

func (p *knownSafe) add(fingerprint uint64) {
	if len(p.current) >= fingerprintsPerGeneration {
		p.current, p.previous = map[uint64]struct{}{}, p.current
	}
	p.current[fingerprint] = struct{}{}
}

func (p *knownSafe) has(fingerprint uint64) bool {
	_, inCurrent := p.current[fingerprint]
	_, inPrevious := p.previous[fingerprint]
	return inCurrent || inPrevious
}

func (p *knownSafe) remove(fingerprint uint64) {
	delete(p.current, fingerprint)
	delete(p.previous, fingerprint)
}
