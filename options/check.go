package options

import (
	"maps"
	"net"
	"slices"
)

// checkAddresses refuses names whose address is none, or another's.
func checkAddresses(where locator, section string, addresses map[string]string, plain bool) error {
	owners := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		address := addresses[name]
		key := section + "." + name
		if err := checkAddress(where, key, address, plain); err != nil {
			return err
		}
		if other, taken := owners[address]; taken {
			return where.refuse(key, "%s is that of %s already; give each its own", address, other)
		}
		owners[address] = name
	}
	return nil
}

// checkAddress refuses what is no address, and one off loopback where plain text is spoken.
func checkAddress(where locator, key, address string, plain bool) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		return where.refuse(key, "%q is no address; give host:port", address)
	}
	if ip := net.ParseIP(host); plain && (ip == nil || !ip.IsLoopback()) {
		return where.refuse(key, "%s is not on loopback, where alone plain text may be spoken; give certificate, key and authority", address)
	}
	return nil
}

// checkCredentials refuses plain text beside credentials, and an incomplete set of them.
func checkCredentials(where locator, section string, plain bool, paths ...string) error {
	given := 0
	for _, path := range paths {
		if path != "" {
			given++
		}
	}
	switch {
	case plain && given > 0:
		return where.refuse(section+".plain", "goes without certificate, key and authority; give either")
	case !plain && given < len(paths):
		return where.refuse(section, "needs certificate, key and authority, the paths of PEM files; on loopback alone plain: true would do")
	}
	return nil
}
