package link

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootbay/coltsfootbay/internal/config"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Guards against a large document that is sent to a process over each of its
// links: one copy per process may be sent, with a margin for retransmissions.
func TestLargeDocumentIsSentOnceToEachProcess(t *testing.T) {
	const processes, size, slack = 6, 136 << 10, 1.5
	id := newIdentity(t)
	first := start(t, id, fleet.RoleEntry, 0, nil)
	all := []*process{first}
	for i := 1; i < processes; i++ {
		all = append(all, start(t, id, fleet.RoleEntry, i, nil, first.View.Self().Address))
	}
	eventually(t, "every pair linked", 8*time.Second, func() bool { return linkEnds(all) >= processes*(processes-1) })
	before := traffic(all)
	document := []wire.Document{{Name: "accounts/a", Revision: 5, Body: strings.Repeat("x", size)}}
	started := time.Now()
	first.PublishDocuments(first.docs.Merge(document, 5), 5)
	eventually(t, "document everywhere", time.Second, func() bool {
		for _, p := range all {
			if p.docs.Hash() != first.docs.Hash() {
				return false
			}
		}
		return true
	})
	t.Logf("document on every process after %v", time.Since(started))
	time.Sleep(200 * time.Millisecond)
	copies := float64(traffic(all)-before) / size
	t.Logf("%.1f copies sent to %d processes", copies, processes-1)
	if copies > slack*(processes-1) {
		t.Errorf("%.1f copies sent to %d processes", copies, processes-1)
	}
}

// Guards against a document that is lost or delayed if the peer that first
// offered it does not send it, and against fetching from another peer only after
// that peer has repeated its offer.
func TestDocumentIsFetchedFromAnotherPeer(t *testing.T) {
	is := is.New(t)
	id := newIdentity(t)
	p := start(t, id, fleet.RoleEntry, 0, nil)
	client := start(t, id, fleet.RoleEntry, 1, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	d := wire.Document{Name: "accounts/a", Revision: 5, Body: strings.Repeat("x", 2*maxPushedBytes)}
	offer := &wire.ConfigOffer{Documents: []wire.DocumentOffer{config.Offer(d)}}
	for _, name := range []fleet.ProcessID{"silent", "second"} {
		conn, err := client.Endpoint.Dial(ctx, p.View.Self().Address)
		is.NoErr(err)
		stream, err := conn.OpenStream(ctx, wire.StreamControl)
		is.NoErr(err)
		is.NoErr(stream.Send(&wire.Hello{Process: name, Start: 1, Role: fleet.RoleEntry}))
		is.NoErr(stream.Send(offer))
		offeredAt := time.Now()
		for {
			message, err := stream.Receive()
			is.NoErr(err)
			if _, ok := message.(*wire.ConfigRequest); ok {
				break
			}
		}
		if name == "second" {
			is.True(time.Since(offeredAt) < 2*fetchTimeout)
			is.NoErr(stream.Send(&wire.ConfigDocs{Documents: []wire.Document{d}}))
		}
	}
	eventually(t, "document received", time.Second, func() bool { return p.docs.Documents(d.Name) != nil })
}
