package soak

import (
	"math/rand/v2"
	"net"
	"sync"
)

// UDPProxy is a UDP proxy on loopback in front of one daemon's peer port. It drops a
// configurable fraction of the datagrams in each direction.
type UDPProxy struct {
	conn   *net.UDPConn
	target *net.UDPAddr

	mu sync.Mutex
	// lossRate is the fraction of datagrams dropped in each direction, from 0 to 1.
	lossRate  [2]float64
	random    *rand.Rand
	upstreams map[string]*net.UDPConn
	closed    bool
}

// NewUDPProxy starts a proxy that forwards to target.
func NewUDPProxy(target string, r *rand.Rand) (*UDPProxy, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, &Error{Op: "start datagrams", Kind: NoStart, Err: err}
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, &Error{Op: "start datagrams", Kind: NoStart, Err: err}
	}
	d := &UDPProxy{conn: conn, target: to, random: r, upstreams: map[string]*net.UDPConn{}}
	go d.forward()
	return d, nil
}

// Addr returns the address that the proxy listens on.
func (d *UDPProxy) Addr() string { return d.conn.LocalAddr().String() }

// SetLoss sets the fraction of datagrams to drop in a direction.
func (d *UDPProxy) SetLoss(dir Direction, fraction float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lossRate[dir] = fraction
}

// Close stops the proxy and closes its sockets.
func (d *UDPProxy) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	_ = d.conn.Close()
	for _, w := range d.upstreams {
		_ = w.Close()
	}
}

func (d *UDPProxy) drops(dir Direction) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lossRate[dir] > 0 && d.random.Float64() < d.lossRate[dir]
}

// maxDatagram is the size of the read buffer, in bytes: the largest UDP datagram.
const maxDatagram = 64 << 10

// forward forwards datagrams of other daemons to the daemon. Each sender gets a socket of its
// own, so that replies find their way back.
func (d *UDPProxy) forward() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if d.drops(ToServer) {
			continue
		}
		if w := d.upstream(from); w != nil {
			// A failed write counts as packet loss, which UDP allows.
			_, _ = w.Write(buf[:n])
		}
	}
}

func (d *UDPProxy) upstream(from *net.UDPAddr) *net.UDPConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.upstreams[from.String()]; w != nil || d.closed {
		return w
	}
	w, err := net.DialUDP("udp", nil, d.target)
	if err != nil {
		return nil
	}
	d.upstreams[from.String()] = w
	go d.forwardReplies(w, from)
	return w
}

// forwardReplies forwards the daemon's datagrams to one other daemon.
func (d *UDPProxy) forwardReplies(w *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := w.Read(buf)
		if err != nil {
			if d.isClosed() {
				return
			}
			// Reads fail with "connection refused" while the daemon is down.
			continue
		}
		if !d.drops(ToClient) {
			_, _ = d.conn.WriteToUDP(buf[:n], to)
		}
	}
}

func (d *UDPProxy) isClosed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}
