package http1

import (
	"crypto/tls"
	"time"
)

// Defaults of Config and TLSOptions.
const (
	defaultHeaderTimeout    = 10 * time.Second
	defaultBodyTimeout      = 20 * time.Second
	defaultIdleTimeout      = 2 * time.Minute
	defaultWriteTimeout     = 10 * time.Second
	defaultMaxConns         = 20000
	defaultLineBytes        = 8 << 10
	defaultHeaderBytes      = 32 << 10
	defaultBodyBytes        = 4 << 20
	defaultHandshakeTimeout = 5 * time.Second
	defaultMaxHandshakes    = 32

	// defaultMemoryBytes is the least default of Config.MemoryBytes. It is more where a body may be so large that one
	// request needs more.
	defaultMemoryBytes = 64 << 20
)

// Config configures a Server. Zero values take the defaults in the comments.
type Config struct {
	Limits                      // of requests: 8 KiB a line, 32 KiB of header, 4 MiB of body
	HeaderTimeout time.Duration // from a request's first byte to the end of its header: 10 s
	BodyTimeout   time.Duration // for a body: 20 s
	IdleTimeout   time.Duration // between requests: 2 min
	WriteTimeout  time.Duration // for a reply: 10 s
	MaxConns      int           // open connections: 20,000
	MemoryBytes   int64         // of all requests together, and of all large replies: see defaultMemoryBytes
	TLS           *TLSOptions   // nil: connections are plain
	Now           func() time.Time
	AcceptError   func(error) // called for each failed accept; nil: they are ignored
}

// TLSOptions configure a server whose connections are encrypted and authenticated.
type TLSOptions struct {
	Config           *tls.Config
	Authenticate     func(tls.ConnectionState) (Peer, error) // called after the handshake; an error closes the connection
	MaxHandshakes    int                                     // handshakes that are processed at once; 0: 32
	HandshakeTimeout time.Duration                           // for what the peer sends in the handshake; 0: 5 s
}

// Peer is the authenticated client of a connection.
type Peer interface {
	// Verify returns an error if the peer's credentials have expired or are no longer trusted. It is called before each
	// request is handled and before a held request is answered; an error ends the connection.
	Verify() error
	// Expiry returns the time at which the credentials expire.
	Expiry() time.Time
}

func (c Config) withDefaults() Config {
	setDefault := func(option *time.Duration, value time.Duration) {
		if *option == 0 {
			*option = value
		}
	}
	setDefault(&c.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&c.BodyTimeout, defaultBodyTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	if c.MaxConns == 0 {
		c.MaxConns = defaultMaxConns
	}
	if c.LineBytes == 0 {
		c.LineBytes = defaultLineBytes
	}
	if c.HeaderBytes == 0 {
		c.HeaderBytes = defaultHeaderBytes
	}
	if c.BodyBytes == 0 {
		c.BodyBytes = defaultBodyBytes
	}
	if c.MemoryBytes == 0 {
		c.MemoryBytes = max(defaultMemoryBytes, memoryPerBodyByte*(c.BodyBytes+int64(c.HeaderBytes)))
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.TLS != nil {
		options := *c.TLS
		setDefault(&options.HandshakeTimeout, defaultHandshakeTimeout)
		if options.MaxHandshakes == 0 {
			options.MaxHandshakes = defaultMaxHandshakes
		}
		c.TLS = &options
	}
	return c
}
