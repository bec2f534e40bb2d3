package edgehost

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestOddEntryOfAHostNamesNoMember(t *testing.T) {
	m, err := decodeMember("a", []byte(`{"Host":"a","Address":"10.0.0.1:80","Bandwidth":10}`))
	assert.NoError(t, err)
	assert.Equal(t, "10.0.0.1:80", m.Address)
	for _, odd := range []string{
		``, `null`, `[]`, `{"Host":"b","Address":"10.0.0.1:80"}`, `{"Host":"a"}`, `{"Host":"a","Address":7}`,
		`{"Host":"a","Address":"10.0.0.1:70000"}`, `{"Host":"a","Address":"10.0.0.1:0"}`, `{"Host":"a","Address":"a"}`,
		`{"Host":"a","Address":"10.0.0.1:80","Bandwidth":1e999}`,
	} {
		_, err := decodeMember("a", []byte(odd))
		assert.Error(t, err, odd)
	}
}
