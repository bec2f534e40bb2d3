package quarantine

import (
	"container/list"
	"time"
)

// answers keeps the time of the latest answer by part, for the most recently answered
// parts.
type answers struct {
	limit  int
	latest map[PartID]*list.Element
	lru    *list.List
}

type answer struct {
	id PartID
	at time.Time
}

func newAnswers(limit int) answers {
	return answers{limit: limit, latest: map[PartID]*list.Element{}, lru: list.New()}
}

// record records an answer and reports whether it is the latest one for the part.
func (a *answers) record(id PartID, at time.Time) bool {
	if e := a.latest[id]; e != nil {
		known := e.Value.(*answer)
		if !at.After(known.at) {
			return false
		}
		known.at = at
		a.lru.MoveToFront(e)
		return true
	}
	a.latest[id] = a.lru.PushFront(&answer{id, at})
	if a.lru.Len() > a.limit {
		oldest := a.lru.Remove(a.lru.Back()).(*answer)
		delete(a.latest, oldest.id)
	}
	return true
}

// at returns the time of the latest answer.
func (a *answers) at(id PartID) (time.Time, bool) {
	e := a.latest[id]
	if e == nil {
		return time.Time{}, false
	}
	return e.Value.(*answer).at, true
}
