package experiment

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// A trace has one request per line, with fields separated by tabs: arrival in
// microseconds from the start, organisation, class, prompt tokens, output
// tokens, 1 or 0 for resumable, and the hexadecimal hashes of the prompt's full
// blocks separated by commas, or "-" for none. Lines are in order of arrival;
// lines that start with # are comments.

const traceFields = 7

// WriteTrace writes arrivals in the trace format.
func WriteTrace(w io.Writer, arrivals []Arrival) error {
	buffered := bufio.NewWriter(w)
	fmt.Fprintln(buffered, "# microseconds\torganisation\tclass\tprompt\toutput\tresumable\tprefix")
	for i := range arrivals {
		a := &arrivals[i]
		resumable := 0
		if a.Resumable {
			resumable = 1
		}
		hashes := make([]string, len(a.Prefix))
		for k, hash := range a.Prefix {
			hashes[k] = strconv.FormatUint(hash, 16)
		}
		prefix := strings.Join(hashes, ",")
		if prefix == "" {
			prefix = "-"
		}
		fmt.Fprintf(buffered, "%d\t%s\t%s\t%d\t%d\t%d\t%s\n",
			a.At.Microseconds(), a.Organisation, a.Class, a.Prompt, a.Output, resumable, prefix)
	}
	return buffered.Flush()
}

// ReadTrace reads arrivals in the trace format.
func ReadTrace(r io.Reader) ([]Arrival, error) {
	var arrivals []Arrival
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		a, err := parseArrival(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if len(arrivals) > 0 && a.At < arrivals[len(arrivals)-1].At {
			return nil, fmt.Errorf("line %d: arrival is earlier than that of the previous request", n)
		}
		arrivals = append(arrivals, a)
	}
	return arrivals, lines.Err()
}

func parseArrival(line string) (Arrival, error) {
	fields := strings.Split(line, "\t")
	if len(fields) != traceFields {
		return Arrival{}, fmt.Errorf("%d fields, want %d", len(fields), traceFields)
	}
	var numbers [traceFields]int64
	for _, i := range []int{0, 3, 4, 5} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil || n < 0 {
			return Arrival{}, fmt.Errorf("field %d: not a non-negative integer: %q", i+1, fields[i])
		}
		numbers[i] = n
	}
	a := Arrival{
		At:           time.Duration(numbers[0]) * time.Microsecond,
		Organisation: model.OrganisationID(fields[1]),
		Class:        fields[2],
		Prompt:       int(numbers[3]),
		Output:       int(numbers[4]),
		Resumable:    numbers[5] == 1,
	}
	if fields[6] == "-" {
		return a, nil
	}
	for hash := range strings.SplitSeq(fields[6], ",") {
		n, err := strconv.ParseUint(hash, 16, 64)
		if err != nil {
			return Arrival{}, fmt.Errorf("field 7: %w", err)
		}
		a.Prefix = append(a.Prefix, n)
	}
	return a, nil
}
