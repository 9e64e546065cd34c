package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// heartbeatInterval is the interval of the empty lines of a watch.
const heartbeatInterval = 2 * time.Second

// moveTime is how long the connections of an address that discovery has left stay open.
const moveTime = 1500 * time.Millisecond

// discovery is a stand-in of discovery whose list does not change.
type discovery struct {
	addr     string
	listener net.Listener
	server   *http.Server
}

// leave ends the service at this address, as the platform does when a new configuration names another.
func (d *discovery) leave() {
	d.listener.Close()
	time.AfterFunc(moveTime, func() { d.server.Close() })
}

// startDiscovery starts a stand-in of discovery.
func (p *play) startDiscovery(l list) (*discovery, error) {
	text, err := json.Marshal(l)
	if err != nil {
		return nil, err
	}
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/registry/instances" {
			http.NotFound(w, r)
			return
		}
		p.notef("discovery: %s", r.URL)
		w.Header().Set("Content-Type", "application/json")
		w.Write(append(text, '\n'))
		if r.URL.Query().Get("follow") == "" {
			return
		}
		control := http.NewResponseController(w)
		for control.Flush() == nil {
			select {
			case <-time.After(heartbeatInterval):
				w.Write([]byte("\n"))
			case <-r.Context().Done():
				return
			}
		}
	}
	d := &discovery{addr: listener.Addr().String(), listener: listener, server: &http.Server{Handler: http.HandlerFunc(handler)}}
	go d.server.Serve(listener) //nolint:errcheck // it serves until the harness ends or discovery leaves the address
	return d, nil
}
