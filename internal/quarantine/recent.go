package quarantine

// generationSize bounds the keys of one generation of a recentMap. Two generations of
// fingerprints take about 400 KiB.
const generationSize = 4096

// recentMap holds the most recently set keys. When the current generation is full, it
// replaces the previous one.
type recentMap[K comparable, V any] struct{ current, previous map[K]V }

func newRecentMap[K comparable, V any]() recentMap[K, V] {
	return recentMap[K, V]{current: map[K]V{}}
}

func (m *recentMap[K, V]) set(key K, value V) {
	if len(m.current) >= generationSize {
		m.current, m.previous = map[K]V{}, m.current
	}
	m.current[key] = value
}

func (m *recentMap[K, V]) get(key K) (V, bool) {
	if value, ok := m.current[key]; ok {
		return value, true
	}
	value, ok := m.previous[key]
	return value, ok
}

func (m *recentMap[K, V]) has(key K) bool {
	_, ok := m.get(key)
	return ok
}

func (m *recentMap[K, V]) remove(key K) {
	delete(m.current, key)
	delete(m.previous, key)
}
