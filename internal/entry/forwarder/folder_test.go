package forwarder

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// TestMessagesOfUnknownFolders guards against votes and acknowledgements that count for a lost data folder, and against a group
// without a leader because a voter that lags refuses a candidate whose folder has replaced the one that it knows.
func TestMessagesOfUnknownFolders(t *testing.T) {
	is := is.New(t)
	request := func(kind messages.Kind, members *messages.Members) *messages.Message {
		m := &messages.Message{Kind: kind, From: "k1", Term: 3}
		if members != nil {
			m.Entries = []*messages.Entry{{Kind: messages.EntryKind_ENTRY_MEMBERS, Data: replicator.EncodeMembers(members)}}
		}
		return m
	}
	named := &messages.Members{Voters: []*messages.Member{{Name: "k0", Identity: "a"}, {Name: "k1", Identity: "new"}}}
	learner := &messages.Members{Voters: named.GetVoters()[:1], Learners: named.GetVoters()[1:]}
	former := &messages.Members{Voters: []*messages.Member{{Name: "k0", Identity: "a"}, {Name: "k1", Identity: "old"}}}
	unnamed := &messages.Members{Voters: []*messages.Member{{Name: "k0"}, {Name: "k1"}}}
	for _, m := range []*messages.Message{
		request(messages.Kind_KIND_APPEND, nil), request(messages.Kind_KIND_SNAPSHOT, nil), request(messages.Kind_KIND_VOTE, named),
		request(messages.Kind_KIND_PREVOTE, named), request(messages.Kind_KIND_VOTE, learner),
	} {
		is.Equal(messagesOfUnknown([]*messages.Message{m}, "new"), []*messages.Message{m})
	}
	for _, m := range []*messages.Message{
		request(messages.Kind_KIND_VOTE, former),  // it counts the vote of the lost folder as its own
		request(messages.Kind_KIND_VOTE, unnamed), // the same, with the identity not recorded yet
		request(messages.Kind_KIND_VOTE, nil),     // of the build before
		request(messages.Kind_KIND_VOTE_REPLY, named), request(messages.Kind_KIND_PREVOTE_REPLY, named),
		request(messages.Kind_KIND_APPEND_REPLY, named), request(messages.Kind_KIND_SNAPSHOT_REPLY, named),
		request(messages.Kind_KIND_TIMEOUT_NOW, named),
	} {
		is.Equal(len(messagesOfUnknown([]*messages.Message{m}, "new")), 0)
	}
	is.Equal(len(messagesOfUnknown([]*messages.Message{request(messages.Kind_KIND_VOTE, unnamed)}, "")), 0) // the folder is not open yet
}
