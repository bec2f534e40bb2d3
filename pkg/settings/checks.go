package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// number is the type set of numeric settings.
type number interface {
	~int | ~int64 | ~float64
}

func checkPositive[T number](c findingCollector, field string, value T) {
	if value <= 0 {
		c.addAtField(field, fmt.Sprintf("must be more than 0, found %v", value))
	}
}

func checkNotNegative[T number](c findingCollector, field string, value T) {
	if value < 0 {
		c.addAtField(field, fmt.Sprintf("must not be negative, found %v", value))
	}
}

func checkLess(c findingCollector, field string, value time.Duration, otherField string, other time.Duration) {
	if cmp.Compare(value, other) >= 0 {
		c.addAtField(field, fmt.Sprintf("must be less than %s (%v), found %v", otherField, other, value))
	}
}

func checkOneOf(c findingCollector, field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addAtField(field, fmt.Sprintf("must be one of %s, found %q", strings.Join(allowed, ", "), value))
	}
}

// checkName checks an identifier that appears in log records, metrics and commands.
func checkName(c findingCollector, field, value string) {
	switch {
	case value == "":
		c.addAtField(field, "required")
	case strings.ContainsAny(value, " \t\r\n/\"\x00"):
		c.addAtField(field, fmt.Sprintf("must not contain spaces, slashes or quotes, found %q", value))
	}
}

func checkAddress(c findingCollector, field, value string) {
	if value == "" {
		c.addAtField(field, "required")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addAtField(field, fmt.Sprintf(`must be an IP address and port such as "127.0.0.1:8080", found %q`, value))
	}
}
