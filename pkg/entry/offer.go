package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// checkOffer checks that the shop in the request belongs to the organisation and,
// on model routes, that an open shop offers the model. It then sets the adapter,
// version and routing of a chat request. Public routes need no offer.
func (h *Handler) checkOffer(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		view := h.deps.View()
		shops, err := shopsFor(view, c.org, model.ShopID(c.r.Header.Get(headerShop)))
		if err != nil {
			return nil, err
		}
		if c.route.Kind != model.RouteModel {
			return next(ctx, request)
		}
		if pool, _, ok := view.Pool(model.PoolName(c.chat.Model)); !ok || pool.Kind != model.PoolEngine {
			return nil, newRejection(http.StatusNotFound, model.CodeUnknownModel, "the model does not exist")
		}
		if !c.route.Public {
			offer, err := findOffer(view, shops, &c.chat, time.Now())
			if err != nil {
				return nil, err
			}
			c.chat.Adapter, c.chat.Version = offer.Adapter, offer.Version
		}
		h.setChatRouting(c)
		return next(ctx, request)
	}
}

// shopsFor returns the shop that the caller requested, or all shops of the
// organisation.
func shopsFor(view state.View, org model.OrganisationID, requested model.ShopID) ([]model.ShopID, error) {
	if org == "" {
		return nil, nil
	}
	if requested == "" {
		return view.ShopsOf(org), nil
	}
	shop, _, ok := view.Shop(requested)
	if !ok || shop.Organisation != org {
		return nil, newRejection(http.StatusNotFound, model.CodeUnknownShop, "the organisation has no such shop")
	}
	return []model.ShopID{requested}, nil
}

// findOffer returns an offer of an open shop that matches the request. If the
// request names no adapter, it prefers offers without one.
func findOffer(view state.View, shops []model.ShopID, chat *engine.ChatRequest, now time.Time) (model.Offer, error) {
	var found *model.Offer
	var nextOpening time.Time
	offered := false
	for _, id := range shops {
		best := bestOffer(view.Offers(id), chat)
		if best == nil {
			continue
		}
		offered = true
		open, next := shopOpen(view, id, now)
		if open && (found == nil || found.Adapter != "" && best.Adapter == "") {
			found = best
		}
		if !next.IsZero() && (nextOpening.IsZero() || next.Before(nextOpening)) {
			nextOpening = next
		}
	}
	if found != nil {
		return *found, nil
	}
	if !offered {
		return model.Offer{}, newRejection(http.StatusForbidden, model.CodeNotOffered, "no shop of the organisation offers this model, adapter and version")
	}
	return model.Offer{}, shopClosedError(nextOpening, now)
}

func shopClosedError(nextOpening, now time.Time) error {
	if nextOpening.IsZero() {
		return newRejection(http.StatusForbidden, model.CodeShopClosed, "the shops that offer the model are closed")
	}
	message := "the shops that offer the model are closed; the next opens at " + nextOpening.Format(time.RFC3339)
	return newRejectionWithRetry(http.StatusForbidden, model.CodeShopClosed, message, nextOpening.Sub(now))
}

func shopOpen(view state.View, id model.ShopID, now time.Time) (bool, time.Time) {
	shop, _, ok := view.Shop(id)
	if !ok {
		return false, time.Time{}
	}
	open, next, err := shop.IsOpen(now)
	if err != nil {
		// A shop with invalid opening hours counts as closed.
		return false, time.Time{}
	}
	return open, next
}

func bestOffer(offers []model.Offer, chat *engine.ChatRequest) *model.Offer {
	var best *model.Offer
	for i := range offers {
		offer := &offers[i]
		if string(offer.Model) != chat.Model ||
			chat.Adapter != "" && chat.Adapter != offer.Adapter ||
			chat.Version != "" && chat.Version != offer.Version {
			continue
		}
		if best == nil || best.Adapter != "" && offer.Adapter == "" {
			best = offer
		}
	}
	return best
}
