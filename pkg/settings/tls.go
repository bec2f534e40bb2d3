package settings

// TLS holds the certificates of the listeners. A listener without a section
// does not use TLS.
type TLS struct {
	// Callers is for the listener for callers. Default: no TLS.
	Callers *Certificate `json:"callers"`
	// Operators is for the listener for operators. Default: no TLS.
	Operators *Certificate `json:"operators"`
	// Peers is for connections between hosts, both as server and as client;
	// with it hosts authenticate each other and ca_file is required. Default: no TLS.
	Peers *Certificate `json:"peers"`
}

// Certificate names the PEM files of one listener. Files are read again when
// they change.
type Certificate struct {
	// CertFile holds the certificate chain. Required.
	CertFile string `json:"cert_file"`
	// KeyFile holds the private key. Required.
	KeyFile string `json:"key_file"`
	// CAFile holds the certificates of the authorities that must have issued the
	// client certificates. Default: none, no client certificate is requested.
	CAFile string `json:"ca_file"`
	// ServerName is the name that peers' certificates must carry. Only used
	// for connections between hosts. Default: the IP address that is dialled.
	ServerName string `json:"server_name"`
}
