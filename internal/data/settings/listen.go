package settings

import (
	"time"

	"redwingloft/pkg/api"
)

// TLS holds the certificate and key paths of a listener. Both are empty for HTTP without TLS.
type TLS struct {
	CertFile string
	KeyFile  string
}

func (s *section) tls() TLS {
	files := TLS{CertFile: s.text("tls_cert_file", ""), KeyFile: s.text("tls_key_file", "")}
	if (files.CertFile == "") != (files.KeyFile == "") {
		s.faultf("tls_cert_file", "tls_cert_file and tls_key_file must be set together")
	}
	return files
}

// Caller holds the settings of section [caller].
type Caller struct {
	Listen string
	// Advertise is the address published to callers; empty means Listen.
	Advertise api.Address
	// AddressValidity is how long callers may cache the address list.
	AddressValidity time.Duration
	TLS             TLS
}

func loadCaller(s *section) Caller {
	c := Caller{
		Listen:          s.address("listen", "127.0.0.1:8080"),
		Advertise:       api.Address(s.address("advertise", "")),
		AddressValidity: s.duration("address_validity", 10*time.Second, time.Second, 10*time.Minute),
		TLS:             s.tls(),
	}
	if c.Advertise == "" {
		c.Advertise = api.Address(c.Listen)
	}
	return c
}

// Peer holds the settings of section [peer].
type Peer struct {
	Listen string
	// Advertise is the address published to other hosts; empty means Listen.
	Advertise api.Address
	// Secret is shared by all hosts of a site. It authenticates peer messages and seals resume tokens.
	Secret string
	// Seeds are peer addresses that are contacted first if the key-value service is unavailable.
	Seeds []api.Address
	// Interval is the time between two exchanges with peers.
	Interval time.Duration
	// Freshness is how long evidence that the configuration is current remains valid.
	Freshness time.Duration
}

// minSecretLength is the minimum length of the peer secret: 128 bits in hex.
const minSecretLength = 32

func loadPeer(s *section) Peer {
	p := Peer{
		Listen:    s.address("listen", "127.0.0.1:8081"),
		Advertise: api.Address(s.address("advertise", "")),
		Secret:    s.text("secret", ""),
		Interval:  s.duration("interval", 500*time.Millisecond, 50*time.Millisecond, 10*time.Second),
		Freshness: s.duration("freshness", 3*time.Second, 500*time.Millisecond, time.Minute),
	}
	for _, seed := range s.list("seeds") {
		p.Seeds = append(p.Seeds, api.Address(seed))
	}
	if p.Secret != "" && len(p.Secret) < minSecretLength {
		s.faultf("secret", "must have at least %d characters", minSecretLength)
	}
	if p.Advertise == "" {
		p.Advertise = api.Address(p.Listen)
	}
	return p
}

// Operator holds the settings of section [operator].
type Operator struct {
	// Listen is the listen address of the console; empty disables it.
	Listen string
	TLS    TLS
	// SessionLifetime is the lifetime of a console session.
	SessionLifetime time.Duration
}

func loadOperator(s *section) Operator {
	return Operator{
		Listen:          s.address("listen", ""),
		TLS:             s.tls(),
		SessionLifetime: s.duration("session", 8*time.Hour, time.Minute, 7*24*time.Hour),
	}
}

// Admin holds the settings of section [admin].
type Admin struct {
	// Listen is the listen address for health, readiness and metrics; empty disables it.
	Listen string
}

func loadAdmin(s *section) Admin {
	return Admin{Listen: s.address("listen", "")}
}
