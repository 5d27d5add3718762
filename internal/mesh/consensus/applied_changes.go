package consensus

import (
	"slices"
	"strconv"
)

// AppliedChange is a change of the configuration that was applied. Its digest is its identity.
type AppliedChange struct {
	Edition int64
	Digest  string
}

// AppliedChanges are the latest changes, oldest first, so that an order that is sent again is recognized. Editions rise.
type AppliedChanges []AppliedChange

// Bounds of what is remembered: whichever is reached first.
const (
	MaxAppliedChanges     = 1024
	MaxAppliedChangeBytes = 64 << 10 // as JSON

	// previousMaxAppliedChanges is the limit of processes of the version before, which run beside this one and trim to
	// it. A list that is shorter has never been trimmed by anybody.
	previousMaxAppliedChanges = 64
)

// Contains reports whether the change of a digest is remembered.
func (a AppliedChanges) Contains(digest string) bool {
	return slices.ContainsFunc(a, func(c AppliedChange) bool { return c.Digest == digest })
}

// CertainlyNotApplied reports whether a change that Contains does not find is certain never to have been applied. edition is the one
// that the change sets, 0 where it is unknown; base is the one that it was made on.
//
// Editions rise, and an applied change sets an edition above its base. So whatever has been forgotten had both numbers
// below the oldest remembered edition.
func (a AppliedChanges) CertainlyNotApplied(edition, base int64) bool {
	return a.complete() || max(edition, base) >= a[0].Edition
}

// complete reports whether nothing has ever been forgotten.
func (a AppliedChanges) complete() bool { return len(a) < previousMaxAppliedChanges }

// Append returns the list with one more change, within the bounds. The list itself stays as it is. The newest change is
// always kept.
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

// jsonSize is the number of bytes that a change takes in a JSON list, with the separator. Digests are hexadecimal: nothing
// in them is escaped.
func (c AppliedChange) jsonSize() int {
	const syntax = len(`{"Edition":,"Digest":""},`)
	return syntax + len(strconv.FormatInt(c.Edition, 10)) + len(c.Digest)
}
