package settings

import "time"

// Platform holds the addresses of the platform's interfaces. They are base URLs
// such as "http://127.0.0.1:7000".
type Platform struct {
	// Address is used for every interface without an address of its own.
	// Required unless each of the four others is given.
	Address string `json:"address"`
	// Log is the address of the append-only log. Default: Address.
	Log string `json:"log"`
	// Fleet is the address for backend server orders and lists. Default: Address.
	Fleet string `json:"fleet"`
	// Usage is the address for usage reports. Default: Address.
	Usage string `json:"usage"`
	// Weights is the address of the weight store. Default: Address.
	Weights string `json:"weights"`
	// RequestTimeout bounds one call, not counting the wait that a log read asks
	// for. Unit: duration. Default: 2s.
	RequestTimeout time.Duration `json:"request_timeout"`
}

func defaultPlatform() Platform {
	return Platform{RequestTimeout: 2 * time.Second}
}

func (p *Platform) derive() {
	for _, address := range []*string{&p.Log, &p.Fleet, &p.Usage, &p.Weights} {
		if *address == "" {
			*address = p.Address
		}
	}
}
