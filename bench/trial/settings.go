package trial

// file mirrors the settings file; only what a trial sets.
type file struct {
	Host             string       `json:"host"`
	AvailabilityZone string       `json:"availability_zone"`
	Region           string       `json:"region"`
	Listen           fileListen   `json:"listen"`
	Contacts         []string     `json:"contacts"`
	Platform         filePlatform `json:"platform"`
	Requests         fileRequests `json:"requests"`
}

type fileListen struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Advertise string `json:"advertise_peers,omitempty"`
	Operators string `json:"operators"`
	Backend   string `json:"backend"`
}

type filePlatform struct {
	URL string `json:"url"`
}

type fileRequests struct {
	OwnKeys string `json:"own_keys"`
}

// settingsOf names the first host of each availability zone as a contact.
func (t *Trial) settingsOf(h *Host) file {
	f := file{
		Host: h.Name, AvailabilityZone: h.AvailabilityZone, Region: Region,
		Listen: fileListen{
			Callers: h.addr(portCallers), Peers: h.addr(portPeers),
			Operators: h.addr(portOperators), Backend: h.addr(portBackend),
		},
		Contacts: []string{},
		Platform: filePlatform{URL: t.LogURL},
		Requests: fileRequests{OwnKeys: "off"},
	}
	if h.Advertised != h.IP {
		f.Listen.Advertise = h.Advertise()
	}
	if t.opts.OwnKeys {
		f.Requests.OwnKeys = "on"
	}
	for i := range min(t.opts.Zones, t.opts.Hosts) {
		if contact := t.newHost(i); contact.Name != h.Name {
			f.Contacts = append(f.Contacts, contact.Advertise())
		}
	}
	return f
}
