// Package logpos defines positions in the platform's log. A restore of the store from an
// older copy begins a new era, in which offsets are assigned again. A position orders records
// across eras: it is era x 2^40 + offset. In era 0 positions equal offsets.
package logpos

import "github.com/rotisserie/eris"

const (
	// offsetBits is the size of the offset in a position.
	offsetBits = 40
	// maxEra keeps positions, which are also fencing tokens, below 2^53: JSON numbers are
	// exact up to there.
	maxEra = 1<<13 - 1
	// maxOffset is the largest offset that fits.
	maxOffset = 1<<offsetBits - 1
)

// New returns the position of an offset in an era. It fails if either is out of range.
func New(era, offset uint64) (uint64, error) {
	if era > maxEra || offset > maxOffset {
		return 0, eris.Errorf("era %d or offset %d is out of range", era, offset)
	}
	return era<<offsetBits + offset, nil
}

// Era returns the era of a position.
func Era(position uint64) uint64 { return position >> offsetBits }

// Offset returns the offset of a position in its era.
func Offset(position uint64) uint64 { return position & maxOffset }
