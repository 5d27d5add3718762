package ledger

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"ottershift/internal/cluster/pack"
)

// Query is a query of the ledger.
type Query struct {
	// Kind is "look" for one key, "find" for the entries that match the fields below, "marks" for checksums or "stand"
	// for counts.
	Kind            string `codec:"w" json:"what,omitempty"`
	Key             []byte `codec:"k,omitempty" json:"key,omitempty"` // for "look"
	RequestID       string `codec:"i,omitempty" json:"id,omitempty"`
	Pool            string `codec:"p,omitempty" json:"pool,omitempty"`
	Customer        string `codec:"c,omitempty" json:"customer,omitempty"`
	Tariff          string `codec:"t,omitempty" json:"tariff,omitempty"`
	Group           string `codec:"g,omitempty" json:"group,omitempty"`
	Upstream        string `codec:"u,omitempty" json:"upstream,omitempty"`
	Member          string `codec:"m,omitempty" json:"member,omitempty"`
	State           string `codec:"s,omitempty" json:"state,omitempty"`
	ClientKeyPrefix string `codec:"l,omitempty" json:"label,omitempty"`
	MaxAge          int64  `codec:"y,omitempty" json:"younger,omitempty"` // claimed less than this ago, in nanoseconds
	MinAge          int64  `codec:"o,omitempty" json:"older,omitempty"`   // claimed at least this long ago, in nanoseconds
	Limit           int    `codec:"n,omitempty" json:"most,omitempty"`    // limit of entries, 0 for none
	Offset          int    `codec:"f,omitempty" json:"-"`                 // for "find": where the previous page ended
	CopyID          uint64 `codec:"e,omitempty" json:"-"`                 // the copy of that page; changes with the leader
}

// States of an entry.
const (
	StateOpen     = "open"     // claimed and not released yet
	StateAnswered = "answered" // an upstream answered
	StateUnknown  = "unknown"  // the request may have run
)

// Entry is the state of one key, as shown to operators.
type Entry struct {
	Key         string `codec:"k" json:"key"`
	State       string `codec:"s" json:"state"`
	Pool        string `codec:"p" json:"pool"`
	Customer    string `codec:"c,omitempty" json:"customer,omitempty"`
	Tariff      string `codec:"t" json:"tariff"`
	OnceOnly    bool   `codec:"o,omitempty" json:"once_only,omitempty"`
	Group       string `codec:"g,omitempty" json:"group,omitempty"`    // upstream group that the request is bound to
	Upstream    string `codec:"u,omitempty" json:"upstream,omitempty"` // upstream of the first attempt in the group
	Member      string `codec:"m,omitempty" json:"member,omitempty"`
	Epoch       uint64 `codec:"e,omitempty" json:"epoch,omitempty"`
	Attempt     uint64 `codec:"n,omitempty" json:"number,omitempty"`
	AgeMS       int64  `codec:"f" json:"remembered_ms"`           // time since it was claimed
	RemainingMS int64  `codec:"l,omitempty" json:"left_ms"`       // time until it expires
	MayHaveRun  bool   `codec:"y,omitempty" json:"may,omitempty"` // an earlier attempt may have run
	BodyHash    uint64 `codec:"b,omitempty" json:"body,omitempty"`
	RequestID   string `codec:"i,omitempty" json:"id,omitempty"`
	ClientKey   string `codec:"x,omitempty" json:"label,omitempty"`
}

// Page is the answer to a query, or one page of it.
type Page struct {
	Entries      []Entry          `codec:"e,omitempty"`
	NextOffset   int              `codec:"m,omitempty"` // where the next page starts, 0 for none
	CopyID       uint64           `codec:"f,omitempty"` // the copy that was read
	Indexes      []uint64         `codec:"i,omitempty"` // log indexes of the checksums
	Checksums    []uint64         `codec:"s,omitempty"`
	Keys         int              `codec:"k,omitempty"`
	OpenClaims   int              `codec:"o,omitempty"`
	ResultCounts map[string]int64 `codec:"r,omitempty"`
}

const (
	maxPageEntries = 2000  // entries in a page
	maxPageScan    = 20000 // records scanned for a page
)

// Read implements keep.ReadablePart: it answers an encoded Query with an encoded Page.
func (sm *StateMachine) Read(body []byte) []byte {
	var query Query
	if pack.Unpack(body, &query) != nil {
		return nil
	}
	page := sm.Query(&query)
	return pack.Pack(&page)
}

// Query answers a query.
func (sm *StateMachine) Query(query *Query) (page Page) {
	switch query.Kind {
	case "look":
		if len(query.Key) == len(Key{}) {
			if slot, found := sm.slotByKey[Key(query.Key)]; found {
				page.Entries = append(page.Entries, sm.entry(&sm.records[slot]))
			}
		}
	case "stand":
		page.Keys, page.OpenClaims, page.ResultCounts = len(sm.slotByKey), len(sm.openClaims), sm.resultCounts
	case "marks":
		for _, logged := range sm.checksumLog {
			if logged.index != 0 {
				page.Indexes, page.Checksums = append(page.Indexes, logged.index), append(page.Checksums, logged.checksum)
			}
		}
	case "find":
		// The scan blocks the replica, so a page scans a limited number of records.
		page.CopyID = sm.copyID
		slot := query.Offset
		if query.CopyID != sm.copyID {
			slot = 0
		}
		scanEnd := min(slot+maxPageScan, len(sm.records))
		for ; slot < scanEnd && len(page.Entries) < maxPageEntries; slot++ {
			if rec := &sm.records[slot]; !rec.empty() && sm.matches(rec, query) {
				page.Entries = append(page.Entries, sm.entry(rec))
			}
		}
		if slot < len(sm.records) {
			page.NextOffset = slot
		}
	}
	return page
}

// ForEach visits all matching entries once, page by page. Entries that are claimed or removed meanwhile may be missing.
func ForEach(query Query, fetchPage func(*Query) (Page, error), visit func(Entry) error) error {
	seen, visited := map[string]bool{}, 0
	for {
		page, err := fetchPage(&query)
		if err != nil {
			return err
		}
		for _, entry := range page.Entries {
			if seen[entry.Key] {
				continue // a change of the copy restarts the scan
			}
			seen[entry.Key] = true
			if visited++; query.Limit > 0 && visited > query.Limit {
				return nil
			}
			if err := visit(entry); err != nil {
				return err
			}
		}
		if page.NextOffset == 0 || query.Kind != "find" {
			return nil
		}
		query.Offset, query.CopyID = page.NextOffset, page.CopyID
	}
}

// matches reports whether a record matches all fields of a query that are set.
func (sm *StateMachine) matches(rec *record, query *Query) bool {
	entry := sm.entry(rec)
	age := entry.AgeMS * int64(time.Millisecond)
	return (query.RequestID == "" || query.RequestID == entry.RequestID) &&
		(query.Pool == "" || query.Pool == entry.Pool) && (query.Customer == "" || query.Customer == entry.Customer) &&
		(query.Tariff == "" || query.Tariff == entry.Tariff) && (query.Group == "" || query.Group == entry.Group) &&
		(query.Upstream == "" || query.Upstream == entry.Upstream) && (query.Member == "" || query.Member == entry.Member) &&
		(query.State == "" || query.State == entry.State) &&
		(query.ClientKeyPrefix == "" || strings.HasPrefix(entry.ClientKey, query.ClientKeyPrefix)) &&
		(query.MaxAge == 0 || age < query.MaxAge) && (query.MinAge == 0 || age >= query.MinAge)
}

// entry returns a record as shown to operators.
func (sm *StateMachine) entry(rec *record) Entry {
	entry := Entry{
		Key: rec.key.String(), Pool: sm.names[rec.pool], Customer: sm.names[rec.customer], Tariff: sm.names[rec.tariff],
		OnceOnly: rec.onceOnly, Group: sm.names[rec.group],
		MayHaveRun: rec.mayHaveRun, BodyHash: rec.bodyHash, RequestID: rec.requestID, ClientKey: rec.clientKey, Upstream: rec.upstream,
	}
	const ms = int64(time.Millisecond)
	if rec.claimedAt != 0 {
		entry.AgeMS = (sm.now - rec.claimedAt) / ms
	}
	if entry.RemainingMS = rec.retention / ms; rec.expirySet {
		entry.RemainingMS = max(0, rec.expiresAt-sm.now) / ms
	}
	switch {
	case rec.holder.member != 0:
		entry.State, entry.Member, entry.Epoch, entry.Attempt = StateOpen, sm.names[rec.holder.member],
			rec.holder.epoch, rec.holder.number
	case rec.answered:
		entry.State = StateAnswered
	default:
		entry.State = StateUnknown
	}
	return entry
}

// DiffCopies compares copies of the ledger, given by the name of their replica, and returns a line for each difference.
func DiffCopies(copies map[string][]Entry) (lines []string) {
	byKey := map[string]map[string]Entry{}
	var names []string
	for name, entries := range copies {
		names = append(names, name)
		for _, entry := range entries {
			if byKey[entry.Key] == nil {
				byKey[entry.Key] = map[string]Entry{}
			}
			entry.AgeMS, entry.RemainingMS = 0, 0 // depend on when each replica was queried
			byKey[entry.Key][name] = entry
		}
	}
	slices.Sort(names)
	for key, byCopy := range byKey {
		var first *Entry
		for _, name := range names {
			entry, found := byCopy[name]
			switch {
			case !found:
				lines = append(lines, key+" is not at "+name)
			case first == nil:
				first = &entry
			case *first != entry:
				lines = append(lines, key+" differs at "+name+": "+entry.State+" "+entry.Group+", elsewhere "+first.State+" "+first.Group)
			}
		}
	}
	slices.Sort(lines)
	return lines
}

// ParseKey parses a key in hexadecimal.
func ParseKey(text string) (key Key, ok bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(key) {
		return key, false
	}
	return Key(raw), true
}
