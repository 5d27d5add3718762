package storage

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/syndtr/goleveldb/leveldb"

	"ottershift/internal/mesh/consensus"
)

// A disk of the version before has each state with its configuration in one value.
func TestADiskOfTheVersionBeforeIsRead(t *testing.T) {
	dir := t.TempDir()
	must.NoError(t, os.MkdirAll(dir, 0o755))
	decided := &consensus.State{Index: 7, Edition: 3, Configuration: configurationOf(400, 3)}
	accepted := &consensus.AcceptedValue{Ballot: consensus.Ballot{Round: 9, Proposer: "a"}, Value: decided.WithBalancerCount(5)}
	old := &consensus.Replica{ID: "one", Decided: decided, Promised: accepted.Ballot, Accepted: accepted}
	db, err := leveldb.OpenFile(filepath.Join(dir, storeFolder), nil)
	must.NoError(t, err)
	for key, value := range map[string]any{keyID: old.ID, keyDecided: old.Decided, keyPromised: old.Promised, keyAccepted: old.Accepted} {
		raw, err := encode(formatWhole, value)
		must.NoError(t, err)
		must.NoError(t, db.Put([]byte(key), raw, nil))
	}
	must.NoError(t, db.Close())
	reopen := func() (*Store, *consensus.Replica) {
		store, replica, fresh, err := Open(dir, func() (string, *consensus.State) { t.Fatal("it counts as empty"); return "", nil })
		must.NoError(t, err)
		must.NoError(t, fresh)
		return store, replica
	}
	store, replica := reopen()
	must.Eq(t, textOf(old), textOf(replica))
	replica.Decided, replica.Accepted = replica.Accepted.Value, nil
	must.NoError(t, store.Save(replica))
	must.NoError(t, store.Close())
	store, again := reopen()
	must.Eq(t, textOf(replica), textOf(again))
	must.MapLen(t, 1, store.documents)
	must.NoError(t, store.Close())
}

// A document that a state refers to and that is not there makes the disk unreadable, never a state without one.
func TestAStateWithoutItsDocumentIsUnreadable(t *testing.T) {
	dir := t.TempDir()
	state := &consensus.State{Index: 7, Edition: 3, Configuration: configurationOf(400, 3)}
	store, _, _, err := Open(dir, func() (string, *consensus.State) { return "one", state })
	must.NoError(t, err)
	must.NoError(t, store.db.Delete([]byte(prefixDocument+consensus.DigestOf(state.Configuration)), nil))
	must.NoError(t, store.Close())
	store, replica, fresh, err := Open(dir, func() (string, *consensus.State) { return "another", &consensus.State{} })
	must.NoError(t, err)
	must.ErrorContains(t, fresh, "is missing")
	must.Eq(t, "another", replica.ID)
	must.NoError(t, store.Close())
}
