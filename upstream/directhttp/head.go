package directhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/wigeontiller/wigeontiller/upstream/responsehead"
)

// readHead reads one response up to its body. net/http takes heads that HTTP/1.1 does not allow, and that mean
// another answer to other readers, so that the head is checked before. The returned reader holds what follows the response; the response's
// body reads from it.
func readHead(reader *bufio.Reader, sent *http.Request) (*http.Response, *bufio.Reader, error) {
	head, err := scanHead(reader)
	if err != nil {
		return nil, nil, err
	}
	rest := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(head), reader), readBufferBytes)
	response, err := http.ReadResponse(rest, sent)
	return response, rest, err
}

// scanHead reads the lines up to the blank one that ends a head, and checks them. The connection bounds their length.
func scanHead(reader *bufio.Reader) ([]byte, error) {
	var head []byte
	for begin := 0; ; {
		line, err := reader.ReadSlice('\n')
		head = append(head, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(head) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		text := bytes.TrimSuffix(bytes.TrimSuffix(head[begin:], []byte("\n")), []byte("\r"))
		if err := responsehead.CheckLine(text, begin == 0); err != nil {
			return nil, err
		}
		if begin > 0 && len(text) == 0 {
			return head, nil
		}
		begin = len(head)
	}
}
