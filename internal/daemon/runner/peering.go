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
	"github.com/bluebellgauge/bluebellgauge/internal/entry/drainer"
	"github.com/bluebellgauge/bluebellgauge/internal/state/replicator"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const (
	peerQueueLen    = 4096 // messages queued per replica
	maxPeerBatch    = 512  // messages per call
	exchangeTimeout = time.Second
	pingInterval    = time.Second // without a frame on a connection to another daemon
	pingTimeout     = time.Second
	secretHeader    = "Bluebellgauge-Secret"
)

// peering holds the HTTP client and the message queues for calls to other daemons.
type peering struct {
	scheme string
	secret string
	name   string
	// identity identifies this daemon's data folder and is set once the folder is open. Other replicas reject
	// messages sent before that; the consensus protocol resends them.
	identity atomic.Pointer[string]
	client   *http.Client
	log      *zap.Logger
	cancel   context.CancelFunc
	ctx      context.Context
	wait     sync.WaitGroup
	mu       sync.Mutex
	replicas []*messages.Member // from the settings and from the leader
	// storedMembers returns the membership from the local replica's log. After a restart of all replicas it is
	// the only source of members that are not in the settings.
	storedMembers atomic.Pointer[func() *messages.Members]
	sendQueues    map[string]chan *messages.Message
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
		// One HTTP/2 connection per daemon; pings detect connections that no longer deliver data.
		Protocols: peerClientProtocols(s.Mutual != nil),
		HTTP2:     &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	if opts.Dial != nil {
		transport.DialContext = opts.Dial
	}
	p := &peering{scheme: "http", secret: opts.Secret, name: s.Name, log: log, sendQueues: map[string]chan *messages.Message{}}
	if s.Mutual != nil {
		config, err := clientTLSConfig(s.Mutual)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = config
		p.scheme = "https"
	}
	p.client = &http.Client{Transport: &secretTransport{secret: opts.Secret, next: transport}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	for _, peer := range s.Keepers {
		p.replicas = append(p.replicas, &messages.Member{Name: peer.Name, Place: peer.Place, Address: peer.Address})
	}
	return p, nil
}

func peerClientProtocols(encrypted bool) *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP2(encrypted)
	p.SetUnencryptedHTTP2(!encrypted)
	return p
}

// secretTransport adds the secret shared by the daemons to each request.
type secretTransport struct {
	secret string
	next   *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (a *secretTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	q = q.Clone(q.Context())
	q.Header.Set(secretHeader, a.secret)
	return a.next.RoundTrip(q)
}

// requireSecret rejects requests without the secret shared by the daemons.
func (p *peering) requireSecret(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(p.secret))
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		given := sha256.Sum256([]byte(q.Header.Get(secretHeader)))
		if subtle.ConstantTimeCompare(given[:], want[:]) != 1 {
			http.Error(w, "this needs the daemons' secret", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, q)
	})
}

// Keepers returns the addresses of the known replicas.
func (p *peering) Keepers() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []netip.AddrPort
	for _, m := range p.replicas {
		if address, err := netip.ParseAddrPort(m.GetAddress()); err == nil {
			list = append(list, address)
		}
	}
	if stored := p.storedMembers.Load(); stored != nil {
		for _, m := range (*stored)().GetVoters() {
			if address, err := netip.ParseAddrPort(m.GetAddress()); err == nil && !slices.Contains(list, address) {
				list = append(list, address)
			}
		}
	}
	return list
}

// updateReplicas adds the replicas reported by the leader and updates the addresses of known ones.
func (p *peering) updateReplicas(daemons []*messages.Daemon) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range daemons {
		if !d.GetKeeper() {
			continue
		}
		i := slices.IndexFunc(p.replicas, func(m *messages.Member) bool { return m.GetName() == d.GetName() })
		if i < 0 {
			p.replicas = append(p.replicas, &messages.Member{Name: d.GetName(), Place: d.GetPlace(), Address: d.GetAddress()})
			continue
		}
		p.replicas[i] = &messages.Member{Name: d.GetName(), Place: d.GetPlace(), Address: d.GetAddress()}
	}
}

func (p *peering) replicaAddress(name string) string {
	if address := p.knownAddress(name); address != "" {
		return address
	}
	if stored := p.storedMembers.Load(); stored != nil {
		return replicator.FindMember((*stored)(), name).GetAddress()
	}
	return ""
}

func (p *peering) knownAddress(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.replicas {
		if m.GetName() == name {
			return m.GetAddress()
		}
	}
	return ""
}

// send queues consensus messages. Messages are dropped if a queue is full; the consensus protocol resends them.
func (p *peering) send(list []*messages.Message) {
	for _, m := range list {
		select {
		case p.sendQueue(m.GetTo()) <- m:
		default:
		}
	}
}

func (p *peering) sendQueue(name string) chan *messages.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.sendQueues[name]
	if c == nil {
		c = make(chan *messages.Message, peerQueueLen)
		p.sendQueues[name] = c
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
			p.exchange(name, collectBatch(m, c))
		}
	}
}

// collectBatch returns the first message and those queued behind it, up to maxPeerBatch.
func collectBatch(first *messages.Message, c chan *messages.Message) []*messages.Message {
	list := []*messages.Message{first}
	for len(list) < maxPeerBatch {
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
	address := p.replicaAddress(name)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, exchangeTimeout)
	defer cancel()
	client := messages.NewPeerProtobufClient(p.scheme+"://"+address, p.client)
	if _, err := client.Exchange(ctx, &messages.Batch{To: name, Messages: list, From: p.name, Identity: p.localIdentity()}); err != nil {
		p.log.Debug("message delivery failed", zap.String("to", name), zap.Error(err))
	}
}

func (p *peering) localIdentity() string {
	if id := p.identity.Load(); id != nil {
		return *id
	}
	return ""
}

func (p *peering) close() {
	p.cancel()
	p.wait.Wait()
	p.client.CloseIdleConnections()
	if a, ok := p.client.Transport.(*secretTransport); ok {
		a.next.CloseIdleConnections()
	}
}

// openListener listens on an address, with TLS if it is configured.
func openListener(address netip.AddrPort, t *parser.TLS) (net.Listener, error) {
	l, config, err := listenTCP(address, t)
	if err != nil {
		return nil, err
	}
	if config == nil {
		return l, nil
	}
	return tls.NewListener(l, config), nil
}

// listenTCP listens on an address and returns the TLS configuration for its connections, nil without TLS. The certificate is
// reloaded for each connection, so that renewed files take effect without a restart.
func listenTCP(address netip.AddrPort, t *parser.TLS) (*net.TCPListener, *tls.Config, error) {
	l, err := drainer.Listen(address)
	if err != nil {
		return nil, nil, err
	}
	if t == nil {
		return l, nil, nil
	}
	if _, err := tls.LoadX509KeyPair(t.Certificate, t.Key); err != nil {
		return nil, nil, errors.Join(fmt.Errorf("load certificate: %w", err), l.Close())
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
		pool, err := readCertPool(t.Authority)
		if err != nil {
			return nil, nil, errors.Join(err, l.Close())
		}
		config.ClientCAs = pool
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return l, config, nil
}

func clientTLSConfig(t *parser.TLS) (*tls.Config, error) {
	pool, err := readCertPool(t.Authority)
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

func readCertPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("read certificate authority: %s contains no certificate", path)
	}
	return pool, nil
}
