package query

import "github.com/coltsfootbay/coltsfootbay/internal/wire"

// Member is the state of a process as this entry sees it.
type Member struct {
	Hello   wire.Hello
	Alive   bool
	Leaving bool
	Linked  bool
}

// Members returns the known entry VMs and the agents with a recent report.
func (q *Queries) Members() []Member {
	var out []Member
	for _, e := range q.View.Entries() {
		out = append(out, Member{Hello: e.Hello, Alive: e.Alive, Leaving: e.Leaving, Linked: e.Linked})
	}
	for _, a := range q.View.Agents() {
		out = append(out, Member{Hello: a.Hello, Alive: true, Leaving: a.Leaving, Linked: a.Linked})
	}
	return out
}
