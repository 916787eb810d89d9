package quarantine

// provenPerGeneration bounds the fingerprints of a generation. Two generations
// take about 400 KiB.
const provenPerGeneration = 4096

// proven holds the fingerprints of the latest requests that ran to their end.
// When the present generation is full, it replaces the former one.
type proven struct{ present, former map[uint64]struct{} }

func newProven() proven { return proven{present: map[uint64]struct{}{}} }

func (p *proven) add(fingerprint uint64) {
	if len(p.present) >= provenPerGeneration {
		p.present, p.former = map[uint64]struct{}{}, p.present
	}
	p.present[fingerprint] = struct{}{}
}

func (p *proven) has(fingerprint uint64) bool {
	_, present := p.present[fingerprint]
	_, former := p.former[fingerprint]
	return present || former
}

func (p *proven) remove(fingerprint uint64) {
	delete(p.present, fingerprint)
	delete(p.former, fingerprint)
}
