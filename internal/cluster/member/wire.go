package member

import "ottershift/internal/cluster/pack"

// What goes over links.

type wireRecord struct {
	Name    string `codec:"n"`
	Epoch   uint64 `codec:"e"`
	Run     uint64 `codec:"r"`
	Zone    string `codec:"z,omitempty"`
	Address string `codec:"a"`
	Ops     string `codec:"o,omitempty"`
	Build   string `codec:"b,omitempty"`
	Low     byte   `codec:"l"`
	High    byte   `codec:"h"`
}

type wireStatus struct {
	ID      string   `codec:"i"`
	Count   uint64   `codec:"c"`
	Leaving bool     `codec:"g,omitempty"`
	Gone    bool     `codec:"x,omitempty"`
	Open    int64    `codec:"o,omitempty"`
	Rate    float64  `codec:"t,omitempty"`
	Offers  []string `codec:"p,omitempty"`
	Parts   int      `codec:"m,omitempty"`
}

type wireMark struct {
	ID    string `codec:"i"`
	Ended bool   `codec:"e,omitempty"`
}

// wireState is what an exchange of states adds to the library's own.
type wireState struct {
	Marks    []wireMark   `codec:"m,omitempty"`
	Statuses []wireStatus `codec:"s,omitempty"`
}

// wireNotice tells an old run that it is over.
type wireNotice struct {
	Old   string `codec:"o"`
	Newer string `codec:"n"`
	Ended bool   `codec:"e,omitempty"`
}

func (r *Record) pack() []byte {
	return pack.Pack(&wireRecord{r.Name, r.Epoch, r.Run, r.Zone, r.Address, r.Ops, r.Build, r.Low, r.High})
}

func unpackRecord(raw []byte) (r Record, err error) {
	var w wireRecord
	if err = pack.Unpack(raw, &w); err != nil {
		return r, err
	}
	return Record{ID{w.Name, w.Epoch, w.Run}, w.Zone, w.Address, w.Ops, w.Build, w.Low, w.High}, nil
}

func wireStatusOf(id ID, s Status) wireStatus {
	return wireStatus{id.String(), s.Count, s.Leaving, s.Gone, s.Open, s.Rate, s.Offers, s.Parts}
}

func (w *wireStatus) open() (ID, Status, bool) {
	id, ok := ParseID(w.ID)
	return id, Status{w.Count, w.Leaving, w.Gone, w.Open, w.Rate, w.Offers, w.Parts}, ok
}
