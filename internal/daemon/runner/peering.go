package runner

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	peerQueue       = 4096 // messages waiting for one keeper
	peerBatch       = 512  // messages in one call
	exchangeTimeout = time.Second
	pingAfter       = time.Second // without a frame on a connection to a daemon
	pingTimeout     = time.Second
	peerHeader      = "Bluebellgauge-Secret"
)

// peering carries calls between daemons.
type peering struct {
	scheme string
	secret string
	name   string
	// identity is of this daemon's data folder, known once the folder is open. Others refuse what
	// is sent before that, and the consensus repeats itself.
	identity atomic.Pointer[string]
	client   *http.Client
	log      *zap.Logger
	cancel   context.CancelFunc
	ctx      context.Context
	wait     sync.WaitGroup
	mu       sync.Mutex
	keepers  []*messages.Member // known by settings or from the leader
	// stored returns the membership that this daemon's replica holds. After a restart of all keepers
	// it alone names those that are not in the settings.
	stored  atomic.Pointer[func() *messages.Members]
	senders map[string]chan *messages.Message
}

func peerProtocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func newPeering(opts Options, log *zap.Logger) (*peering, error) {
	s := opts.Settings
	transport := &http.Transport{
		// One HTTP/2 connection for each daemon; pings find it out when it has gone silent.
		Protocols: peerClientProtocols(s.Mutual != nil),
		HTTP2:     &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	if opts.Dial != nil {
		transport.DialContext = opts.Dial
	}
	p := &peering{scheme: "http", secret: opts.Secret, name: s.Name, log: log, senders: map[string]chan *messages.Message{}}
	if s.Mutual != nil {
		config, err := clientTLS(s.Mutual)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = config
		p.scheme = "https"
	}
	p.client = &http.Client{Transport: &authorised{secret: opts.Secret, next: transport}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	for _, k := range s.Keepers {
		p.keepers = append(p.keepers, &messages.Member{Name: k.Name, Place: k.Place, Address: k.Address})
	}
	return p, nil
}

func peerClientProtocols(encrypted bool) *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP2(encrypted)
	p.SetUnencryptedHTTP2(!encrypted)
	return p
}

// authorised adds the daemons' secret to each call.
type authorised struct {
	secret string
	next   *http.Transport
}

// RoundTrip sends one call.
func (a *authorised) RoundTrip(q *http.Request) (*http.Response, error) {
	q = q.Clone(q.Context())
	q.Header.Set(peerHeader, a.secret)
	return a.next.RoundTrip(q)
}

// guard refuses calls without the daemons' secret.
func (p *peering) guard(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(p.secret))
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		given := sha256.Sum256([]byte(q.Header.Get(peerHeader)))
		if subtle.ConstantTimeCompare(given[:], want[:]) != 1 {
			http.Error(w, "this needs the daemons' secret", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, q)
	})
}

// Keepers returns where keepers may be reached.
func (p *peering) Keepers() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []netip.AddrPort
	for _, k := range p.keepers {
		if address, err := netip.ParseAddrPort(k.GetAddress()); err == nil {
			list = append(list, address)
		}
	}
	if stored := p.stored.Load(); stored != nil {
		for _, k := range (*stored)().GetVoters() {
			if address, err := netip.ParseAddrPort(k.GetAddress()); err == nil && !slices.Contains(list, address) {
				list = append(list, address)
			}
		}
	}
	return list
}

// learn adds keepers that the leader knows and updates the addresses of known ones.
func (p *peering) learn(daemons []*messages.Daemon) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range daemons {
		if !d.GetKeeper() {
			continue
		}
		i := slices.IndexFunc(p.keepers, func(k *messages.Member) bool { return k.GetName() == d.GetName() })
		if i < 0 {
			p.keepers = append(p.keepers, &messages.Member{Name: d.GetName(), Place: d.GetPlace(), Address: d.GetAddress()})
			continue
		}
		p.keepers[i] = &messages.Member{Name: d.GetName(), Place: d.GetPlace(), Address: d.GetAddress()}
	}
}

func (p *peering) keeperAddress(name string) string {
	if address := p.learnedAddress(name); address != "" {
		return address
	}
	if stored := p.stored.Load(); stored != nil {
		return replicator.FindMember((*stored)(), name).GetAddress()
	}
	return ""
}

func (p *peering) learnedAddress(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.keepers {
		if k.GetName() == name {
			return k.GetAddress()
		}
	}
	return ""
}

// send queues messages of the consensus. A full queue drops them; the consensus repeats itself.
func (p *peering) send(list []*messages.Message) {
	for _, m := range list {
		select {
		case p.sender(m.GetTo()) <- m:
		default:
		}
	}
}

func (p *peering) sender(name string) chan *messages.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.senders[name]
	if c == nil {
		c = make(chan *messages.Message, peerQueue)
		p.senders[name] = c
		p.wait.Go(func() { p.sendLoop(name, c) })
	}
	return c
}

func (p *peering) sendLoop(name string, c chan *messages.Message) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case m := <-c:
			p.exchange(name, collect(m, c))
		}
	}
}

// collect takes what else waits for the same keeper into one call.
func collect(first *messages.Message, c chan *messages.Message) []*messages.Message {
	list := []*messages.Message{first}
	for len(list) < peerBatch {
		select {
		case m := <-c:
			list = append(list, m)
		default:
			return list
		}
	}
	return list
}

func (p *peering) exchange(name string, list []*messages.Message) {
	address := p.keeperAddress(name)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, exchangeTimeout)
	defer cancel()
	client := messages.NewPeerProtobufClient(p.scheme+"://"+address, p.client)
	if _, err := client.Exchange(ctx, &messages.Batch{To: name, Messages: list, From: p.name, Identity: p.ownIdentity()}); err != nil {
		p.log.Debug("messages not delivered", zap.String("to", name), zap.Error(err))
	}
}

func (p *peering) ownIdentity() string {
	if id := p.identity.Load(); id != nil {
		return *id
	}
	return ""
}

func (p *peering) close() {
	p.cancel()
	p.wait.Wait()
	p.client.CloseIdleConnections()
	if a, ok := p.client.Transport.(*authorised); ok {
		a.next.CloseIdleConnections()
	}
}

// openListener opens a port, with TLS when it is set. Certificates are read again for each
// connection, so that new files are used at once.
func openListener(address netip.AddrPort, t *parser.TLS) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if t == nil {
		return l, nil
	}
	if _, err := tls.LoadX509KeyPair(t.Certificate, t.Key); err != nil {
		return nil, errors.Join(fmt.Errorf("load certificate: %w", err), l.Close())
	}
	config := &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			c, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
			return &c, err
		},
	}
	if t.Authority != "" {
		pool, err := readPool(t.Authority)
		if err != nil {
			return nil, errors.Join(err, l.Close())
		}
		config.ClientCAs = pool
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return tls.NewListener(l, config), nil
}

func clientTLS(t *parser.TLS) (*tls.Config, error) {
	pool, err := readPool(t.Authority)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			c, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
			return &c, err
		},
	}, nil
}

func readPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("read authority: %s has no certificate", path)
	}
	return pool, nil
}
