package mesh

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/quota"
)

// The encoding of bundles on the wire. Each host decodes the updates of all others from
// bundles, which is the largest part of the processor time that the mesh takes.

//go:generate env GOWORK=off go tool -modfile=../../tools/go.mod msgp -unexported -io=false -tests=false -file wire.go

//msgp:tuple wireBundle wireRelayed wireSender wireSend wirePart wireLoad wireSum wireSpeed wireSuspect
//msgp:ignore internedNames
//msgp:limit arrays:65536 maps:16

// bundleFormat is the version of the encoding and the first value of a bundle.
const bundleFormat = 1

type wireBundle struct {
	Format  uint8
	Relayed []wireRelayed
}

// wireRelayed is the encoding of a Relayed. Names are byte slices, so that decoding
// doesn't allocate strings.
type wireRelayed struct {
	Host []byte
	// Sender has one element, or none if the update carries only the sender's name.
	Sender          []wireSender
	IncarnationHash uint32
	Number          uint64
	Age, ReadAge    time.Duration

	Sends  []wireSend
	Load   []wireLoad
	Speeds []wireSpeed
	// Whole, QuotaAge, Admitted and Refused encode News.Quota.
	Whole     bool
	QuotaAge  time.Duration
	Admitted  []wireSum
	Refused   []wireSum
	Holder    []byte
	Fence     uint64
	Switching [][]byte
	Suspects  []wireSuspect
}

type wireSender struct {
	Incarnation, Address, DataCentre string
	Bandwidth                        float64
	Stopped                          bool
}

type wireSend struct {
	Backend []byte
	WorkMS  float64
	Parts   []wirePart
}

type wirePart struct {
	ID     uint64
	Tokens int
}

type wireLoad struct {
	Backend  []byte
	Running  int
	UnreadMS float64
}

type wireSum struct {
	Organisation []byte
	Sum          float64
}

type wireSpeed struct {
	Pool                                                  []byte
	PrefillRate, DecodeRate, PrefillMS, DecodeMS, FirstMS float64
}

type wireSuspect struct {
	Digest  string
	Crashes int
}

// resized changes the length of a list. Elements beyond the old length keep the values
// of earlier use, so that their memory is reused.
func resized[T any](list []T, n int) []T {
	return slices.Grow(list[:0], n)[:n]
}

// set overwrites w with an update.
func (w *wireRelayed) set(update *Relayed) {
	w.Host = append(w.Host[:0], update.From.Host...)
	w.Sender = w.Sender[:0]
	if update.From != (Member{Host: update.From.Host}) {
		w.Sender = append(w.Sender, wireSender{update.From.Incarnation, update.From.Address, update.From.DataCentre, update.From.Bandwidth, update.From.Stopped})
	}
	w.IncarnationHash, w.Number, w.Age, w.ReadAge = update.IncarnationHash, update.Number, update.Age, update.ReadAge
	news := &update.News
	w.Sends = resized(w.Sends, len(news.Load.Sends))
	for i, s := range news.Load.Sends {
		to := &w.Sends[i]
		to.Backend, to.WorkMS, to.Parts = append(to.Backend[:0], s.Backend...), s.WorkMS, to.Parts[:0]
		for _, p := range s.Parts {
			to.Parts = append(to.Parts, wirePart{p.ID, p.Tokens})
		}
	}
	w.Load = resized(w.Load, len(news.Load.Load))
	for i, l := range news.Load.Load {
		to := &w.Load[i]
		to.Backend, to.Running, to.UnreadMS = append(to.Backend[:0], l.Backend...), l.Running, l.UnreadMS
	}
	w.Speeds = w.Speeds[:0]
	for service, s := range news.Speeds {
		w.Speeds = append(w.Speeds, wireSpeed{[]byte(service), s.PrefillRate, s.DecodeRate, s.PrefillMS, s.DecodeMS, s.FirstMS})
	}
	w.Whole, w.QuotaAge = news.Quota.Whole, news.Quota.Age
	w.Admitted, w.Refused = encodeSums(w.Admitted, news.Quota.Admitted), encodeSums(w.Refused, news.Quota.Refused)
	w.Holder, w.Fence = append(w.Holder[:0], news.Holding.Holder...), news.Holding.Fence
	w.Switching = w.Switching[:0]
	for _, id := range news.Switching {
		w.Switching = append(w.Switching, []byte(id))
	}
	w.Suspects = w.Suspects[:0]
	for digest, crashes := range news.Suspects {
		w.Suspects = append(w.Suspects, wireSuspect{digest, crashes})
	}
}

// encodeSums overwrites a list with sums and returns it.
func encodeSums(list []wireSum, sums map[model.OrganisationID]float64) []wireSum {
	list = resized(list, len(sums))
	i := 0
	for org, sum := range sums {
		list[i].Organisation, list[i].Sum = append(list[i].Organisation[:0], org...), sum
		i++
	}
	return list
}

// internedNames holds one string for each name that bundles repeat.
type internedNames map[string]string

// maxInternedNames bounds the names that are kept. The hosts, backend servers and
// organisations of the largest planned deployment are a third of it.
const maxInternedNames = 1 << 16

func (n internedNames) intern(raw []byte) string {
	if s, ok := n[string(raw)]; ok {
		return s
	}
	if len(n) >= maxInternedNames {
		clear(n)
	}
	s := string(raw)
	n[s] = s
	return s
}

// relayed returns the update in w. The result shares no memory with w.
func (w *wireRelayed) relayed(names internedNames) Relayed {
	update := Relayed{From: Member{Host: names.intern(w.Host)}, IncarnationHash: w.IncarnationHash, Number: w.Number, Age: w.Age, ReadAge: w.ReadAge}
	if len(w.Sender) > 0 {
		s := &w.Sender[0]
		update.From.Incarnation, update.From.Address, update.From.DataCentre = s.Incarnation, s.Address, s.DataCentre
		update.From.Bandwidth, update.From.Stopped = s.Bandwidth, s.Stopped
	}
	news := &update.News
	if len(w.Sends) > 0 {
		news.Load.Sends = make([]placement.Send, len(w.Sends))
	}
	for i := range w.Sends {
		from, to := &w.Sends[i], &news.Load.Sends[i]
		to.Backend, to.WorkMS = model.BackendID(names.intern(from.Backend)), from.WorkMS
		if len(from.Parts) > 0 {
			to.Parts = make([]placement.Part, len(from.Parts))
		}
		for j, p := range from.Parts {
			to.Parts[j] = placement.Part{ID: p.ID, Tokens: p.Tokens}
		}
	}
	if len(w.Load) > 0 {
		news.Load.Load = make(placement.Load, len(w.Load))
	}
	for i := range w.Load {
		from := &w.Load[i]
		news.Load.Load[i] = placement.ServerLoad{Backend: model.BackendID(names.intern(from.Backend)), Running: from.Running, UnreadMS: from.UnreadMS}
	}
	if len(w.Speeds) > 0 {
		news.Speeds = make(map[model.PoolName]placement.Speed, len(w.Speeds))
	}
	for i := range w.Speeds {
		from := &w.Speeds[i]
		news.Speeds[model.PoolName(names.intern(from.Pool))] = placement.Speed{
			PrefillRate: from.PrefillRate, DecodeRate: from.DecodeRate, PrefillMS: from.PrefillMS, DecodeMS: from.DecodeMS, FirstMS: from.FirstMS,
		}
	}
	news.Quota = quota.Usage{Whole: w.Whole, Age: w.QuotaAge, Admitted: decodeSums(w.Admitted, names), Refused: decodeSums(w.Refused, names)}
	news.Holding = Holding{names.intern(w.Holder), w.Fence}
	for _, id := range w.Switching {
		news.Switching = append(news.Switching, model.BackendID(names.intern(id)))
	}
	if len(w.Suspects) > 0 {
		news.Suspects = make(map[string]int, len(w.Suspects))
	}
	for _, s := range w.Suspects {
		news.Suspects[s.Digest] = s.Crashes
	}
	return update
}

func decodeSums(list []wireSum, names internedNames) map[model.OrganisationID]float64 {
	if len(list) == 0 {
		return nil
	}
	m := make(map[model.OrganisationID]float64, len(list))
	for i := range list {
		m[model.OrganisationID(names.intern(list[i].Organisation))] = list[i].Sum
	}
	return m
}

// unsupportedFormat returns the error for bundles of a relay that runs a version with
// another encoding.
func unsupportedFormat(format uint8) error {
	return eris.Errorf("unsupported bundle format %d, want %d", format, bundleFormat)
}
