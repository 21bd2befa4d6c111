package consensus

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"wheelrill/ownership"
)

// full is a disk that takes nothing from some moment on.
type full struct {
	raft.StableStore
	since *atomic.Bool
}

func (f full) SetUint64(key []byte, value uint64) error {
	if f.since.Load() {
		return errors.New("no space left on device")
	}
	return f.StableStore.SetUint64(key, value)
}

func (f full) Set(key, value []byte) error {
	if f.since.Load() {
		return errors.New("no space left on device")
	}
	return f.StableStore.Set(key, value)
}

const patience = 30 * time.Second

var terms = ownership.LeaseTerms{Duration: 1_500_000, RenewInterval: 200_000, MessageWindow: 10_000_000, MaxMessages: 30, Members: 3}

// reader notes what a member is told, and lets stories wait for it.
type reader struct {
	mutex sync.Mutex
	more  chan struct{}
	told  []string
}

func newReader() *reader { return &reader{more: make(chan struct{})} }

func (r *reader) note(what string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.told = append(r.told, what)
	close(r.more)
	r.more = make(chan struct{})
}

func (r *reader) EntryCommitted(e ownership.Entry) {
	r.note(fmt.Sprintf("recorded %s %d %d", e.Member, e.Incarnation, e.Seq))
}
func (r *reader) SnapshotRestored(*ownership.Record) { r.note("restored") }
func (r *reader) ProposalCommitted(incarnation, seq uint64) {
	r.note(fmt.Sprintf("answered %d %d", incarnation, seq))
}
func (r *reader) ProposalFailed(incarnation, seq uint64) {
	r.note(fmt.Sprintf("failed %d %d", incarnation, seq))
}

func (r *reader) has(what string) (bool, chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, said := range r.told {
		if strings.HasPrefix(said, what) {
			return true, r.more
		}
	}
	return false, r.more
}

func (r *reader) waits(t testing.TB, what string) {
	t.Helper()
	late := time.After(patience)
	for {
		has, more := r.has(what)
		if has {
			return
		}
		select {
		case <-more:
		case <-late:
			t.Fatalf("never told %q, but %q", what, r.told)
		}
	}
}

// member is one that runs.
type member struct {
	*Node
	*reader
	stop func()
}

// addresses are free ones on loopback.
func addresses(t testing.TB, names ...string) map[string]string {
	t.Helper()
	of := map[string]string{}
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		of[name] = l.Addr().String()
		defer l.Close()
	}
	return of
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func starts(t testing.TB, config Config) *member {
	t.Helper()
	return startsOn(t, config, nil)
}

// startsOn runs one on a disk that is spoilt by the story.
func startsOn(t testing.TB, config Config, wrapStore func(raft.StableStore) raft.StableStore) *member {
	t.Helper()
	r := newReader()
	config.Terms = terms
	n, err := newNode(config, r, quiet(), wrapStore)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { n.Run(ctx) })
	m := &member{n, r, sync.OnceFunc(func() { cancel(); running.Wait() })}
	t.Cleanup(m.stop)
	return m
}

// puts proposes an entry until it stands.
func (m *member) puts(t testing.TB, e ownership.Entry) {
	t.Helper()
	late := time.After(patience)
	answered, failed := fmt.Sprintf("answered %d %d", e.Incarnation, e.Seq), fmt.Sprintf("failed %d %d", e.Incarnation, e.Seq)
	for tried := 1; ; tried++ {
		m.Propose(e)
		for m.count(failed) < tried {
			stands, more := m.has(answered)
			if stands {
				return
			}
			select {
			case <-more:
			case <-late:
				t.Fatalf("never stands: %+v", e)
			}
		}
	}
}

func (r *reader) count(what string) (times int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, said := range r.told {
		if said == what {
			times++
		}
	}
	return times
}

func TestRecord(t *testing.T) {
	names := []string{"a", "b", "c"}
	t.Run("three found one record, each puts on it, and all have the same", func(t *testing.T) {
		at, story := addresses(t, names...), t
		var all []*member
		for _, name := range names {
			all = append(all, starts(t, Config{Name: name, Members: at}))
		}
		for i, m := range all {
			m.puts(t, ownership.Entry{Member: names[i], Incarnation: uint64(i + 1), Seq: 1})
		}
		for _, m := range all {
			for i, name := range names {
				m.waits(t, fmt.Sprintf("recorded %s %d 1", name, i+1))
			}
		}
		t.Run("one that lost all comes under a new id, catches up, and its old one is gone", func(t *testing.T) {
			old := all[2].ID()
			all[2].stop()
			all[0].puts(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 2})
			back := starts(story, Config{Name: "c", Members: at})
			back.puts(t, ownership.Entry{Member: "c", Incarnation: 30, Seq: 1})
			back.waits(t, "recorded a 1 2")
			r := back.current().raft
			f := r.GetConfiguration()
			if f.Error() != nil || back.ID() == old || len(f.Configuration().Servers) != 3 ||
				strings.Contains(fmt.Sprint(f.Configuration()), old) {
				t.Errorf("members %v, it was %s", f.Configuration(), old)
			}
			all[2] = back
		})
		t.Run("when two have lost all the third comes as new as well, and a record is founded again", func(t *testing.T) {
			all[0].stop()
			all[1].stop()
			a, b := starts(story, Config{Name: "a", Members: at}), starts(story, Config{Name: "b", Members: at})
			all[2].waits(t, "restored")
			a.puts(t, ownership.Entry{Member: "a", Incarnation: 50, Seq: 1})
			b.puts(t, ownership.Entry{Member: "b", Incarnation: 51, Seq: 1})
			all[2].waits(t, "recorded a 50 1")
		})
	})
	t.Run("on disk a member goes on as the one it was, and nobody else may use its folder", func(t *testing.T) {
		at, folder := addresses(t, "a"), t.TempDir()
		a := starts(t, Config{Name: "a", Members: at, Folder: folder})
		a.puts(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
		if _, err := New(Config{Name: "a", Members: addresses(t, "a"), Folder: folder, Terms: terms}, newReader(), quiet()); err == nil {
			t.Error("two processes on one folder")
		}
		id := a.ID()
		a.stop()
		a = starts(t, Config{Name: "a", Members: at, Folder: folder})
		if a.waits(t, "recorded a 1 1"); a.ID() != id {
			t.Errorf("it is %s, and was %s", a.ID(), id)
		}
	})
	t.Run("alone of three nothing stands, and each try is told", func(t *testing.T) {
		a := starts(t, Config{Name: "a", Members: addresses(t, names...)})
		a.Propose(ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
		a.waits(t, "failed 1 1")
	})
}

// authority signs certificates for names.
type authority struct {
	*testing.T
	folder string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{T: t, folder: t.TempDir()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a.key = key
	a.cert = &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		NotAfter: time.Now().Add(time.Hour), BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	a.writes("authority.pem", "CERTIFICATE", a.signs(a.cert, &key.PublicKey))
	return a
}

func (a *authority) signs(c *x509.Certificate, key *ecdsa.PublicKey) []byte {
	a.Helper()
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, key, a.key)
	if err != nil {
		a.Fatal(err)
	}
	return der
}

func (a *authority) writes(name, kind string, der []byte) string {
	a.Helper()
	path := filepath.Join(a.folder, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.Fatal(err)
	}
	return path
}

func (a *authority) gives(name string) Credentials {
	a.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.Fatal(err)
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	return Credentials{Certificate: a.writes(name+".pem", "CERTIFICATE", a.signs(c, &key.PublicKey)),
		Key: a.writes(name+"-key.pem", "EC PRIVATE KEY", der), Authority: filepath.Join(a.folder, "authority.pem")}
}

func TestCredentials(t *testing.T) {
	ours, foreign := newAuthority(t), newAuthority(t)
	at := addresses(t, "a", "b")
	a := starts(t, Config{Name: "a", Members: at, Credentials: ours.gives("a")})
	b := starts(t, Config{Name: "b", Members: at, Credentials: ours.gives("b")})
	a.puts(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
	b.waits(t, "recorded a 1 1")

	asks := func(given Credentials, to string, c memberRequest) (memberResponse, error) {
		secure, err := given.tlsConfig()
		if err != nil {
			t.Fatal(err)
		}
		l := newTransport(at, secure)
		conn, err := l.dial(context.Background(), to, connCalls)
		if err != nil {
			return memberResponse{}, err
		}
		defer conn.Close()
		return roundTrip(conn, c)
	}
	for name, given := range map[string]Credentials{"a foreign authority": foreign.gives("b"),
		"a name that is no member's": ours.gives("z"), "plain text": {}} {
		t.Run(name+" is refused", func(t *testing.T) {
			if got, err := asks(given, "a", memberRequest{Status: true}); err == nil {
				t.Errorf("got %+v", got)
			}
		})
	}
	t.Run("a member may not speak for another", func(t *testing.T) {
		leader := a.status().Leader
		got, err := asks(ours.gives("b"), leader, memberRequest{Entry: &ownership.Entry{Member: "a", Incarnation: 9, Seq: 1}})
		if err != nil || got.Accepted || got.Why == "" {
			t.Errorf("got %+v, %v", got, err)
		}
		if got, err := asks(ours.gives("b"), leader, memberRequest{Name: "a", ID: "a/x"}); err != nil || got.Accepted {
			t.Errorf("joined for another: %+v, %v", got, err)
		}
	})
	t.Run("a connection for an id that is over is not taken for ours", func(t *testing.T) {
		secure, _ := ours.gives("b").tlsConfig()
		l := &layer{transport: newTransport(at, secure)}
		conn, err := l.Dial(addressOf("a", "a/older"), 0)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetReadDeadline(time.Now().Add(patience))
		if n, err := conn.Read(make([]byte, 1)); n > 0 || err == nil || os.IsTimeout(err) {
			t.Errorf("read %d bytes, %v", n, err)
		}
	})
}

func TestConfig(t *testing.T) {
	for why, config := range map[string]Config{
		"is not among them":  {Name: "z", Members: map[string]string{"a": "127.0.0.1:1"}},
		"for loopback alone": {Name: "a", Members: map[string]string{"a": "127.0.0.1:0", "b": "192.0.2.1:7"}},
		"certificate and key": {Name: "a", Members: map[string]string{"a": "127.0.0.1:0"},
			Credentials: Credentials{Certificate: "none.pem", Key: "none.pem", Authority: "none.pem"}},
	} {
		if _, err := New(config, newReader(), quiet()); err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("got %v, not %q", err, why)
		}
	}
	folder := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(folder, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := New(Config{Name: "a", Members: addresses(t, "a"), Folder: folder}, newReader(), quiet()); err == nil ||
		!strings.Contains(err.Error(), "folder") {
		t.Errorf("got %v", err)
	}
}

func TestStateMachine(t *testing.T) {
	m, r := &stateMachine{events: newReader(), record: ownership.NewRecord(), configuration: newConfiguration(nil, nil)}, newReader()
	m.record.Apply(ownership.Entry{Member: "a", Incarnation: 1, Seq: 1, Claims: []int{4}, Revision: 1,
		TableChanges: []ownership.TableChange{{Table: 2, Lines: []ownership.Line{{Backend: "s", Weight: 0.5}}}}})
	s, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := &stateMachine{events: r, record: ownership.NewRecord(), configuration: newConfiguration(nil, nil)}
	if err := other.Restore(io.NopCloser(bytes.NewReader(persisted(t, s)))); err != nil {
		t.Fatal(err)
	}
	if incarnation := other.record.Incarnations[1]; incarnation.Tables[2].Lines["s"].Weight != 0.5 || other.record.Proxies[4].Owner != "a" {
		t.Errorf("restored %+v", other.record)
	}
	if told, _ := r.has("restored"); !told {
		t.Error("not told of it")
	}
	if err := other.Restore(io.NopCloser(strings.NewReader("no record"))); err == nil || other.record.Proxies[4].Owner != "a" {
		t.Errorf("a damaged snapshot changed the record: %v", err)
	}
}

func TestDisk(t *testing.T) {
	t.Run("a disk that is full when a vote has to be kept ends the part in the record, not the process", func(t *testing.T) {
		at, since := addresses(t, "a", "b", "c"), &atomic.Bool{}
		a := startsOn(t, Config{Name: "a", Members: at, Folder: t.TempDir()}, func(s raft.StableStore) raft.StableStore { return full{s, since} })
		others := map[string]*member{"b": starts(t, Config{Name: "b", Members: at}), "c": starts(t, Config{Name: "c", Members: at})}
		a.puts(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: 1})
		late := time.After(patience)
		until := func(is func() bool) {
			t.Helper()
			for !is() {
				select {
				case <-late:
					t.Fatal("it never came to that")
				case <-time.After(10 * time.Millisecond):
				}
			}
		}
		until(func() bool { // somebody else leads
			r := a.current().raft
			if r.State() == raft.Leader {
				r.LeadershipTransfer().Error()
			}
			return others[a.status().Leader] != nil
		})
		since.Store(true)
		others[a.status().Leader].stop()
		until(a.halted.Load) // the next election has it vote, or stand itself
		a.Propose(ownership.Entry{Member: "a", Incarnation: 1, Seq: 3})
		a.waits(t, "failed 1 3") // and so goes on by itself
		a.stop()
	})
	at := addresses(t, "a")
	fresh := func(t *testing.T) string {
		folder := t.TempDir()
		a := starts(t, Config{Name: "a", Members: at, Folder: folder})
		for seq := uint64(1); seq < 40; seq++ {
			a.puts(t, ownership.Entry{Member: "a", Incarnation: 1, Seq: seq})
		}
		a.stop()
		return folder
	}
	for name, spoil := range map[string]func(text []byte) []byte{
		"is cut off":                      func(text []byte) []byte { return text[:len(text)/3] },
		"is something else":               func([]byte) []byte { return bytes.Repeat([]byte("no record "), 2000) },
		"has its first pages overwritten": func(text []byte) []byte { return append(make([]byte, 8192), text[8192:]...) },
	} {
		t.Run("a record that "+name+" is refused, with the folder named", func(t *testing.T) {
			folder := fresh(t)
			path := filepath.Join(folder, "record.db")
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, spoil(text), 0o600); err != nil {
				t.Fatal(err)
			}
			n, err := New(Config{Name: "a", Members: at, Folder: folder, Terms: terms}, newReader(), quiet())
			if err == nil {
				n.current().close()
				n.transport.close()
			}
			if err == nil || !strings.Contains(err.Error(), folder) {
				t.Errorf("got %v", err)
			}
		})
	}
}
