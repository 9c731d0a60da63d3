package store

import (
	"fmt"

	"redwingloft/pkg/api"
)

// Keys returns the key names of one deployment. The zero value uses no prefix.
type Keys struct {
	// Prefix separates deployments that share a key-value service. It is empty or ends with "/".
	Prefix string
}

// Manifest returns the key of the active configuration manifest.
func (k Keys) Manifest() string { return k.Prefix + "config/manifest" }

// Part returns the key of the configuration part with the given hex SHA-256 digest.
func (k Keys) Part(digest string) string { return k.PartsPrefix() + digest }

// PartsPrefix returns the prefix of the keys of all configuration parts.
func (k Keys) PartsPrefix() string { return k.Prefix + "config/parts/" }

// History returns the key of the manifest of an earlier revision.
func (k Keys) History(revision api.Revision) string {
	return fmt.Sprintf("%s%020d", k.HistoryPrefix(), revision)
}

// HistoryPrefix returns the prefix of all history keys, which sort by revision.
func (k Keys) HistoryPrefix() string { return k.Prefix + "config/history/" }

// Members returns the key of the member document of a data centre.
func (k Keys) Members(dataCentre api.DataCentre) string {
	return k.MembersPrefix() + string(dataCentre)
}

// MembersPrefix returns the prefix of the keys of all member documents.
func (k Keys) MembersPrefix() string { return k.Prefix + "members/" }

// Order returns the key of an order record.
func (k Keys) Order(shard int, digest string) string {
	return fmt.Sprintf("%sorders/%02x/%s", k.Prefix, shard, digest)
}
