package storage

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/syndtr/goleveldb/leveldb"

	"ottershift/internal/mesh/consensus"
)

// The previous release stored each state together with its configuration in one value.
func TestReadsFormatOfPreviousVersion(t *testing.T) {
	dir := t.TempDir()
	must.NoError(t, os.MkdirAll(dir, 0o755))
	decided := &consensus.State{Index: 7, Edition: 3, Configuration: configurationOf(400, 3)}
	accepted := &consensus.AcceptedValue{Ballot: consensus.Ballot{Round: 9, Proposer: "a"}, Value: decided.WithBalancerCount(5)}
	old := &consensus.Replica{ID: "one", Decided: decided, Promised: accepted.Ballot, Accepted: accepted}
	db, err := leveldb.OpenFile(filepath.Join(dir, storeDirectory), nil)
	must.NoError(t, err)
	for key, value := range map[string]any{keyID: old.ID, keyDecided: old.Decided, keyPromised: old.Promised, keyAccepted: old.Accepted} {
		raw, err := encode(formatInline, value)
		must.NoError(t, err)
		must.NoError(t, db.Put([]byte(key), raw, nil))
	}
	must.NoError(t, db.Close())
	reopen := func() (*Store, *consensus.Replica) {
		store, replica, initReason, err := Open(dir, func() (string, *consensus.State) { t.Fatal("the store is treated as empty"); return "", nil })
		must.NoError(t, err)
		must.NoError(t, initReason)
		return store, replica
	}
	store, replica := reopen()
	must.Eq(t, replicaJSON(old), replicaJSON(replica))
	replica.Decided, replica.Accepted = replica.Accepted.Value, nil
	must.NoError(t, store.Save(replica))
	must.NoError(t, store.Close())
	store, again := reopen()
	must.Eq(t, replicaJSON(replica), replicaJSON(again))
	must.MapLen(t, 1, store.documents)
	must.NoError(t, store.Close())
}

// A missing document must make the store unreadable, rather than give a state without its configuration.
func TestMissingDocumentMakesStoreUnreadable(t *testing.T) {
	dir := t.TempDir()
	state := &consensus.State{Index: 7, Edition: 3, Configuration: configurationOf(400, 3)}
	store, _, _, err := Open(dir, func() (string, *consensus.State) { return "one", state })
	must.NoError(t, err)
	must.NoError(t, store.db.Delete([]byte(prefixDocument+consensus.DigestOf(state.Configuration)), nil))
	must.NoError(t, store.Close())
	store, replica, initReason, err := Open(dir, func() (string, *consensus.State) { return "another", &consensus.State{} })
	must.NoError(t, err)
	must.ErrorContains(t, initReason, "is missing")
	must.Eq(t, "another", replica.ID)
	must.NoError(t, store.Close())
}
