// Package model holds the types that the other packages share: identifiers,
// configuration entities, request outcomes and the errors returned to callers.
package model

// OrganisationID identifies an organisation, a customer of the deployment.
type OrganisationID string

// KeyID identifies a caller key without revealing it.
type KeyID string

// ShopID identifies a shop of an organisation.
type ShopID string

// RouteID identifies a route.
type RouteID string

// HostID identifies an entry host.
type HostID string

// Incarnation identifies one run of a host's process; it is a ULID generated at
// process start.
type Incarnation string

// RegionID identifies a region, a group of data centres.
type RegionID string

// DataCentreID identifies a data centre.
type DataCentreID string

// BackendID identifies a backend server.
type BackendID string

// PoolName names a group of backend servers that serve one model or one plain service.
type PoolName string

// RequestID identifies one request of a caller; it is a ULID.
type RequestID string

// Offset is a position in the platform's log. Offsets start at 1; 0 means none.
type Offset uint64

// ShardName identifies a unit of authority that one host holds at a time, such as "fleet/andina", "org/7" or "usage/2".
type ShardName string
