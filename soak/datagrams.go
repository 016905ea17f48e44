package soak

import (
	"math/rand/v2"
	"net"
	"sync"
)

// Datagrams is a proxy for UDP on loopback in front of one daemon, for what
// daemons say to each other. It loses a part of what goes in a direction.
type Datagrams struct {
	conn   *net.UDPConn
	target *net.UDPAddr

	mu sync.Mutex
	// lost is the part that is lost, by direction, from 0 to 1.
	lost   [2]float64
	random *rand.Rand
	ways   map[string]*net.UDPConn
	closed bool
}

// NewDatagrams starts a proxy to an address.
func NewDatagrams(target string, r *rand.Rand) (*Datagrams, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, &Error{Op: "start datagrams", Kind: NoStart, Err: err}
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, &Error{Op: "start datagrams", Kind: NoStart, Err: err}
	}
	d := &Datagrams{conn: conn, target: to, random: r, ways: map[string]*net.UDPConn{}}
	go d.forth()
	return d, nil
}

// Addr is where the daemon is reached.
func (d *Datagrams) Addr() string { return d.conn.LocalAddr().String() }

// Lose sets which part is lost in a direction.
func (d *Datagrams) Lose(dir Direction, part float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lost[dir] = part
}

// Close ends the proxy.
func (d *Datagrams) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	_ = d.conn.Close()
	for _, w := range d.ways {
		_ = w.Close()
	}
}

func (d *Datagrams) loses(dir Direction) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost[dir] > 0 && d.random.Float64() < d.lost[dir]
}

// largest is the size of the largest datagram, in bytes.
const largest = 64 << 10

// forth carries what comes from other daemons, each on a socket of its own.
func (d *Datagrams) forth() {
	buf := make([]byte, largest)
	for {
		n, from, err := d.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if d.loses(Forth) {
			continue
		}
		if w := d.way(from); w != nil {
			// A datagram that cannot be sent is lost, as any may be.
			_, _ = w.Write(buf[:n])
		}
	}
}

func (d *Datagrams) way(from *net.UDPAddr) *net.UDPConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.ways[from.String()]; w != nil || d.closed {
		return w
	}
	w, err := net.DialUDP("udp", nil, d.target)
	if err != nil {
		return nil
	}
	d.ways[from.String()] = w
	go d.back(w, from)
	return w
}

// back carries the daemon's answers to one other daemon.
func (d *Datagrams) back(w *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, largest)
	for {
		n, err := w.Read(buf)
		if err != nil {
			if d.gone() {
				return
			}
			// A daemon that is down refuses datagrams.
			continue
		}
		if !d.loses(Back) {
			_, _ = d.conn.WriteToUDP(buf[:n], to)
		}
	}
}

func (d *Datagrams) gone() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}
