package settings

import (
	"time"

	"redwingloft/pkg/api"
)

// TLS names the certificate of a listener. Both fields are empty for plain HTTP.
type TLS struct {
	CertFile string
	KeyFile  string
}

func (s *section) tls() TLS {
	files := TLS{CertFile: s.text("tls_cert_file", ""), KeyFile: s.text("tls_key_file", "")}
	if (files.CertFile == "") != (files.KeyFile == "") {
		s.faultf("tls_cert_file", "tls_cert_file and tls_key_file are set together or not at all")
	}
	return files
}

// Caller is the section [caller].
type Caller struct {
	Listen string
	// Advertise is the address that callers are told; empty means Listen.
	Advertise api.Address
	// AddressValidity is how long callers may keep the address list.
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

// Peer is the section [peer].
type Peer struct {
	Listen string
	// Advertise is the address that other hosts are told; empty means Listen.
	Advertise api.Address
	// Secret is shared by all hosts of a site. It authenticates their messages and seals resume tokens.
	Secret string
	// Seeds are peer addresses to ask first where the key-value service is out.
	Seeds []api.Address
	// Interval is the time between two exchanges.
	Interval time.Duration
	// Freshness is the time for which evidence that the configuration is current holds.
	Freshness time.Duration
}

// minSecret is the shortest accepted peer secret, 128 bits in hex.
const minSecret = 32

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
	if p.Secret != "" && len(p.Secret) < minSecret {
		s.faultf("secret", "shorter than %d characters", minSecret)
	}
	if p.Advertise == "" {
		p.Advertise = api.Address(p.Listen)
	}
	return p
}

// Operator is the section [operator].
type Operator struct {
	// Listen is the address of the console; empty turns it off.
	Listen string
	TLS    TLS
	// Session is the life of a console session.
	Session time.Duration
}

func loadOperator(s *section) Operator {
	return Operator{
		Listen:  s.address("listen", ""),
		TLS:     s.tls(),
		Session: s.duration("session", 8*time.Hour, time.Minute, 7*24*time.Hour),
	}
}

// Admin is the section [admin].
type Admin struct {
	// Listen is the address of health, readiness and metrics; empty turns it off.
	Listen string
}

func loadAdmin(s *section) Admin {
	return Admin{Listen: s.address("listen", "")}
}
