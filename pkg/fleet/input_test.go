package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/planner"
	"github.com/redwingpath/redwingpath/pkg/state"
)

type offersView struct {
	state.View
	offers []model.Offer
}

func (v offersView) AllOffers() []model.Offer { return v.offers }

// Guards against an offer whose adapter no engine loads: all its requests would be
// rejected with no_backend.
func TestAdaptersOfOffersAreWanted(t *testing.T) {
	view := offersView{offers: []model.Offer{
		{Model: "tasador", Adapter: "destilados"}, {Model: "tasador"}, {Model: "other", Adapter: "foreign"},
	}}
	rows := []planner.Engine{{Pool: "tasador"}, {Pool: "tasador"}, {Pool: "other"}}
	require.Equal(t, map[string]int{"destilados": 2}, wantedAdapters(view, "tasador", rows))
}
