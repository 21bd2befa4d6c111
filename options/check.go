package options

import (
	"maps"
	"net"
	"slices"
)

// checkAddresses rejects an unusable address, and an address that is listed under two names.
func checkAddresses(loc locator, section string, addresses map[string]string, plain bool) error {
	owners := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		address := addresses[name]
		key := section + "." + name
		if err := checkAddress(loc, key, address, plain); err != nil {
			return err
		}
		if other, taken := owners[address]; taken {
			return loc.keyError(key, "%s is already the address of %s; give each its own address", address, other)
		}
		owners[address] = name
	}
	return nil
}

// checkAddress rejects an address that is not host:port. For plain text it also rejects an address
// that is not on loopback.
func checkAddress(loc locator, key, address string, plain bool) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		return loc.keyError(key, "%q is no address; give host:port", address)
	}
	if ip := net.ParseIP(host); plain && (ip == nil || !ip.IsLoopback()) {
		return loc.keyError(key,
			"%s is not on loopback, where alone plain text may be spoken; give certificate, key and authority", address)
	}
	return nil
}

// checkCredentials rejects plain text together with credentials, and TLS with incomplete
// credentials. The paths are those of the certificate, the key and the authority.
func checkCredentials(loc locator, section string, plain bool, paths ...string) error {
	givenPaths := 0
	for _, path := range paths {
		if path != "" {
			givenPaths++
		}
	}
	switch {
	case plain && givenPaths > 0:
		return loc.keyError(section+".plain",
			"cannot be combined with certificate, key and authority; give plain: true or the three of them")
	case !plain && givenPaths < len(paths):
		return loc.keyError(section,
			"needs certificate, key and authority, the paths of PEM files; on loopback alone plain: true would do")
	}
	return nil
}
