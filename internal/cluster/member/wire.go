package member

import "ottershift/internal/cluster/pack"

// Wire formats. The short codec tags are part of the protocol.

// wireRecord is the encoding of a Record.
type wireRecord struct {
	Name       string `codec:"n"`
	Epoch      uint64 `codec:"e"`
	Run        uint64 `codec:"r"`
	Zone       string `codec:"z,omitempty"`
	Address    string `codec:"a"`
	OpsAddress string `codec:"o,omitempty"`
	Build      string `codec:"b,omitempty"`
	MinVersion byte   `codec:"l"`
	MaxVersion byte   `codec:"h"`
}

// wireStatus is the encoding of a Status with the run that it belongs to.
type wireStatus struct {
	ID               string   `codec:"i"`
	Sequence         uint64   `codec:"c"`
	Draining         bool     `codec:"g,omitempty"`
	Final            bool     `codec:"x,omitempty"`
	OpenTransactions int64    `codec:"o,omitempty"`
	Rate             float64  `codec:"t,omitempty"`
	Pools            []string `codec:"p,omitempty"`
	ShardsPerPool    int      `codec:"m,omitempty"`
}

// wireLatestRun is the encoding of a LatestRun.
type wireLatestRun struct {
	ID    string `codec:"i"`
	Ended bool   `codec:"e,omitempty"`
}

// wireState is the payload that a push/pull state exchange carries in addition to the library's own state.
type wireState struct {
	LatestRuns []wireLatestRun `codec:"m,omitempty"`
	Statuses   []wireStatus    `codec:"s,omitempty"`
}

// wireNotice informs an old run that a newer run has superseded it.
type wireNotice struct {
	Old   string `codec:"o"`
	Newer string `codec:"n"`
	Ended bool   `codec:"e,omitempty"`
}

func (r *Record) encode() []byte {
	return pack.Pack(&wireRecord{r.Name, r.Epoch, r.Run, r.Zone, r.Address, r.OpsAddress, r.Build, r.MinVersion, r.MaxVersion})
}

func decodeRecord(raw []byte) (r Record, err error) {
	var w wireRecord
	if err = pack.Unpack(raw, &w); err != nil {
		return r, err
	}
	return Record{ID{w.Name, w.Epoch, w.Run}, w.Zone, w.Address, w.OpsAddress, w.Build, w.MinVersion, w.MaxVersion}, nil
}

func newWireStatus(id ID, s Status) wireStatus {
	return wireStatus{id.String(), s.Sequence, s.Draining, s.Final, s.OpenTransactions, s.Rate, s.Pools, s.ShardsPerPool}
}

func (w *wireStatus) decode() (ID, Status, bool) {
	id, ok := ParseID(w.ID)
	return id, Status{w.Sequence, w.Draining, w.Final, w.OpenTransactions, w.Rate, w.Pools, w.ShardsPerPool}, ok
}
