package store

import (
	"fmt"

	"redwingloft/pkg/api"
)

// Keys names the keys of one deployment. The zero value has no prefix.
type Keys struct {
	// Prefix separates deployments that share a service; it ends with "/" where it is not empty.
	Prefix string
}

// Manifest is the key of the configuration manifest in force.
func (k Keys) Manifest() string { return k.Prefix + "config/manifest" }

// Part is the key of a configuration part with the given hex SHA-256 digest.
func (k Keys) Part(digest string) string { return k.PartsPrefix() + digest }

// PartsPrefix is the prefix of all configuration parts.
func (k Keys) PartsPrefix() string { return k.Prefix + "config/parts/" }

// History is the key of the manifest of an earlier revision.
func (k Keys) History(revision api.Revision) string {
	return fmt.Sprintf("%s%020d", k.HistoryPrefix(), revision)
}

// HistoryPrefix is the prefix of all history keys, which sort by revision.
func (k Keys) HistoryPrefix() string { return k.Prefix + "config/history/" }

// Members is the key of the member document of a data centre.
func (k Keys) Members(dataCentre api.DataCentre) string {
	return k.MembersPrefix() + string(dataCentre)
}

// MembersPrefix is the prefix of all member documents.
func (k Keys) MembersPrefix() string { return k.Prefix + "members/" }

// Order is the key of an order record.
func (k Keys) Order(shard int, digest string) string {
	return fmt.Sprintf("%sorders/%02x/%s", k.Prefix, shard, digest)
}
