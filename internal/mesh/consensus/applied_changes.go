package consensus

import (
	"slices"
	"strconv"
)

// AppliedChange is a change of the configuration that was applied. It is identified by its digest.
type AppliedChange struct {
	Edition int64
	Digest  string
}

// AppliedChanges are the most recent changes, oldest first and with increasing editions. They are kept to recognize a
// change request that is sent again.
type AppliedChanges []AppliedChange

// Bounds on the list of applied changes. The list is trimmed when either is reached.
const (
	MaxAppliedChanges     = 1024
	MaxAppliedChangeBytes = 64 << 10 // in bytes of JSON

	// previousMaxAppliedChanges is the limit of the previous release. Its processes may run alongside this release and
	// trim the list to this length. A shorter list has never been trimmed.
	previousMaxAppliedChanges = 64
)

// Contains reports whether the list holds the change with the given digest.
func (a AppliedChanges) Contains(digest string) bool {
	return slices.ContainsFunc(a, func(c AppliedChange) bool { return c.Digest == digest })
}

// CertainlyNotApplied reports whether a change that Contains does not find is certain never to have been applied. The
// edition is the one that the change sets, or 0 if unknown. The base is the edition that the change was made on.
//
// Editions increase, and an applied change sets an edition above its base. Both numbers of a trimmed change are
// therefore below the oldest edition in the list.
func (a AppliedChanges) CertainlyNotApplied(edition, base int64) bool {
	return a.complete() || max(edition, base) >= a[0].Edition
}

// complete reports whether the list has never been trimmed.
func (a AppliedChanges) complete() bool { return len(a) < previousMaxAppliedChanges }

// Append returns a copy of the list with the change added, trimmed to the bounds. The newest change is always kept,
// even if it exceeds MaxAppliedChangeBytes by itself.
func (a AppliedChanges) Append(change AppliedChange) AppliedChanges {
	first := max(0, len(a)+1-MaxAppliedChanges)
	size := len("[]") - len(",") + change.jsonSize()
	for i := len(a) - 1; i >= first; i-- {
		size += a[i].jsonSize()
		if size > MaxAppliedChangeBytes {
			first = i + 1
		}
	}
	return append(slices.Clone(a[first:]), change)
}

// jsonSize is the number of bytes of a change in a JSON list, with the separator. Digests are hexadecimal, so JSON does
// not escape any of their characters.
func (c AppliedChange) jsonSize() int {
	const syntax = len(`{"Edition":,"Digest":""},`)
	return syntax + len(strconv.FormatInt(c.Edition, 10)) + len(c.Digest)
}
