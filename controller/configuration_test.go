package controller

import (
	"io"
	"strings"
	"testing"
)

func TestUnusableConfigurationIsRefused(t *testing.T) {
	good := string(configuration("127.0.0.1:9", "null"))
	for name, change := range map[string][2]string{
		"not JSON":                       {"{", "["},
		"configuration: listen":          {`"listen"`, `"was"`},
		"configuration: discovery":       {`"discovery"`, `"was"`},
		"configuration: settings":        {`"settings"`, `"was"`},
		"setting familyInfo.egressPerS":  {`"egressPerS":900`, `"egressPerS":"many"`},
		"setting familyInfo.proxyCount":  {`"proxyCount":40`, `"proxyCount":-1`},
		"setting azs":                    {`"azs":["a","b"]`, `"azs":[]`},
		"setting profiles.1.target":      {`,"target":800`, ``},
		"setting profiles.0.name":        {`"name":"read it"`, `"name":7`},
		"setting rules.rampTime":         {`"rampTime"`, `"was"`},
		"setting familyInfo.partitionsN": {`"overhead":4`, `"overhead":4,"partitionsN":64`},
	} {
		t.Run(name, func(t *testing.T) {
			changed := strings.Replace(good, change[0], change[1], 1)
			_, err := New(Identity{}, []byte(changed), NewLogger(io.Discard))
			if err == nil || name != "not JSON" && !strings.Contains(err.Error(), name) {
				t.Errorf("got error %v, want one that names the key", err)
			}
		})
	}
	t.Run("the identity's addresses override the configuration's, and an unusual setting is logged", func(t *testing.T) {
		logged := newLogBuffer()
		unusual := strings.Replace(good, `"weights":"rough"`, `"weights":"guessed"`, 1)
		c, err := New(Identity{Listen: "127.0.0.1:7", Discovery: "127.0.0.1:8"}, []byte(unusual), NewLogger(logged))
		if err != nil || c.configuration.Listen != "127.0.0.1:7" || c.watcher.client.Addr != "127.0.0.1:8" ||
			c.Cores() != 1 || c.Memory() != 192<<20 {
			t.Errorf("controller %+v, error %v; want the identity's addresses and the limits of the configuration", c, err)
		}
		logged.waitFor(t, "guessed", 1)
	})
}

func TestReloadingTheConfiguration(t *testing.T) {
	t.Run("a new discovery address takes effect at once, connections and the list are kept", func(t *testing.T) {
		discovery, next := newFakeDiscovery(t), newFakeDiscovery(t)
		discovery.answers <- "silence"
		c, address, logged := runController(t, discovery.address, twoEndpoints,
			func(l *limits) { l.watchMargin = testTimeout })
		if query := <-discovery.queries; query != "since=1&timeout_ms=50" {
			t.Errorf("discovery got the query %q", query)
		}
		proxy, fake := dial(t, address), newFakeProxy("read it", "write")
		proxy.send(hello)
		if err := fake.apply(proxy.receive()); err != nil || len(fake.picks(0)) != 2 {
			t.Errorf("error %v, the proxy has %+v", err, fake)
		}
		for range 3 { // repeated reloads have the same effect as one
			if err := c.Reload(configuration(next.address, "null")); err != nil {
				t.Fatal(err)
			}
		}
		next.answers <- listJSON(2, false, endpointJSON(5, "up"))
		for len(fake.picks(0)) != 3 {
			if err := fake.apply(proxy.receive()); err != nil {
				t.Fatal(err)
			}
		}
		if query := <-next.queries; query != "since=1&timeout_ms=50" {
			t.Errorf("the new discovery got the query %q", query)
		}
		logged.waitFor(t, "msg=configuration_reloaded discovery="+next.address, 3)
	})
	t.Run("an unusable configuration changes nothing, and the error names the key", func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		c, _, logged := runController(t, discovery.address, twoEndpoints, nil)
		good := string(configuration("127.0.0.1:9", "null"))
		for change, key := range map[[2]string]string{{"{", "["}: "configuration", {`"discovery"`, `"was"`}: "discovery",
			{"127.0.0.1:9", "nowhere"}: "discovery", {`"settings"`, `"was"`}: "settings", {good[90:], ""}: "configuration",
			{`"egressPerS":900`, `"egressPerS":"many"`}: "egressPerS"} {
			if err := c.Reload([]byte(strings.Replace(good, change[0], change[1], 1))); err == nil ||
				!strings.Contains(err.Error(), key) {
				t.Errorf("%v: got error %v, want one that contains %q", change, err, key)
			}
		}
		for len(discovery.queries) > 0 {
			<-discovery.queries
		}
		if query := <-discovery.queries; query != "since=1&timeout_ms=50" {
			t.Errorf("discovery got the query %q", query)
		}
		if text, _ := logged.read(); strings.Contains(text, "msg=configuration_reloaded") {
			t.Errorf("an unusable configuration was accepted: %s", text)
		}
	})
	t.Run("changed keys that need a restart are logged", func(t *testing.T) {
		c, _, logged := runController(t, newFakeDiscovery(t).address, twoEndpoints, nil)
		changed := strings.Replace(string(configuration("127.0.0.1:9", "null")), `"backlog":900`, `"backlog":901`, 1)
		if err := c.Reload([]byte(strings.Replace(changed, `127.0.0.1:0`, `127.0.0.1:1`, 1))); err != nil {
			t.Fatal(err)
		}
		logged.waitFor(t, "msg=reload_needs_restart key=listen", 1)
		logged.waitFor(t, "msg=reload_needs_restart key=settings", 1)
	})
}
