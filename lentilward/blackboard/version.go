package blackboard

import (
	"cmp"
	"fmt"
)

// Version is a version of the records in the platform's store. The era rises when the store
// comes back from an older copy; its revisions are then given out again, so that revisions
// of different eras can't be compared.
type Version struct {
	Era, Revision uint64
}

// Compare returns -1, 0 or +1 if v is older than w, the same or newer.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Era, w.Era), cmp.Compare(v.Revision, w.Revision))
}

// IsZero reports whether v precedes all versions.
func (v Version) IsZero() bool { return v == Version{} }

// String returns the era and the revision.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Era, v.Revision) }
