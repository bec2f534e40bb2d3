package opslang

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

var errValue = errors.New("malformed value")

// Descriptions of the values that the parsers below accept, for findings.
const (
	expectName    = "a name of letters, digits and -_.:@"
	expectText    = "a text"
	expectNumber  = "a number of 0 or more"
	expectCount   = "a whole number of 0 or more"
	expectShare   = "a share from 0 to 1"
	expectYesNo   = "yes or no"
	expectZone    = "an IANA time zone such as America/Bogota"
	expectPath    = "a path that starts with /"
	expectDigest  = "64 hexadecimal digits"
	expectVersion = "a version number"
	expectDays    = "always, a day such as mon or a range such as mon-fri"
	expectTimes   = "opening times such as 08:00-18:00"
)

func parseText(text string) (string, error) {
	return text, nil
}

// maxNameBytes keeps log records and metric labels small.
const maxNameBytes = 128

func parseName(text string) (string, error) {
	if text == "" || len(text) > maxNameBytes {
		return "", errValue
	}
	for _, r := range text {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("-_.:@", r) {
			return "", errValue
		}
	}
	return text, nil
}

func parseNumber(text string) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || number < 0 || math.IsInf(number, 0) || math.IsNaN(number) {
		return 0, errValue
	}
	return number, nil
}

func parseShare(text string) (float64, error) {
	share, err := parseNumber(text)
	if err != nil || share > 1 {
		return 0, errValue
	}
	return share, nil
}

func parseCount(text string) (int, error) {
	count, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, errValue
	}
	return int(count), nil
}

func parseYesNo(text string) (bool, error) {
	if text != "yes" && text != "no" {
		return false, errValue
	}
	return text == "yes", nil
}

func parseZone(text string) (string, error) {
	// "Local" is the time zone of the host, which may differ between hosts.
	if text == "" || text == "Local" {
		return "", errValue
	}
	if _, err := time.LoadLocation(text); err != nil {
		return "", errValue
	}
	return text, nil
}

func parsePath(text string) (string, error) {
	if !strings.HasPrefix(text, "/") || strings.ContainsAny(text, "?# ") {
		return "", errValue
	}
	return text, nil
}

func parseDigest(text string) (string, error) {
	digest, err := hex.DecodeString(text)
	if err != nil || len(digest) != 32 {
		return "", errValue
	}
	return strings.ToLower(text), nil
}

func parseVersion(text string) (model.Offset, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errValue
	}
	return model.Offset(version), nil
}

// oneOf returns a parser for a fixed set of words.
func oneOf[T ~string](words ...T) func(string) (T, error) {
	return func(text string) (T, error) {
		if !slices.Contains(words, T(text)) {
			return "", errValue
		}
		return T(text), nil
	}
}

var dayNames = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// parseDays parses a day or a range of days, which may extend past the end of the
// week.
func parseDays(text string) ([]time.Weekday, error) {
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	from, to := slices.Index(dayNames, first), slices.Index(dayNames, last)
	if from < 0 || to < 0 {
		return nil, errValue
	}
	days := []time.Weekday{time.Weekday(from)}
	for day := from; day != to; {
		day = (day + 1) % len(dayNames)
		days = append(days, time.Weekday(day))
	}
	return days, nil
}

// parseTimes parses opening times into minutes after midnight. 24:00 is the end of
// the day, which model.Hours can represent too.
func parseTimes(text string) (opens, closes int, err error) {
	first, last, found := strings.Cut(text, "-")
	if !found {
		return 0, 0, errValue
	}
	opens, err = parseMinute(first)
	if err != nil || opens == minutesPerDay {
		return 0, 0, errValue
	}
	closes, err = parseMinute(last)
	if err != nil || opens == closes {
		return 0, 0, errValue
	}
	return opens, closes, nil
}

const minutesPerDay = 24 * 60

func parseMinute(text string) (int, error) {
	if text == "24:00" {
		return minutesPerDay, nil
	}
	at, err := time.Parse("15:04", text)
	if err != nil {
		return 0, errValue
	}
	return at.Hour()*60 + at.Minute(), nil
}

// FormatHours formats opening hours in the syntax of the language.
func FormatHours(hours []model.Hours) string {
	if len(hours) == 0 {
		return "always"
	}
	parts := make([]string, len(hours))
	for i, h := range hours {
		parts[i] = fmt.Sprintf("%s %s-%s", dayNames[h.Day], formatMinute(h.OpenMinute), formatMinute(h.CloseMinute))
	}
	return strings.Join(parts, ", ")
}

func formatMinute(minute int) string {
	return fmt.Sprintf("%02d:%02d", minute/60, minute%60)
}
