package processes

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	resumeTokens = 100
	// resumeEvents adds the events of the finish reason, the usage and the end marker.
	resumeEvents = resumeTokens + 3
	// disconnectWait is the time for the engine to notice that the killed node's connection broke.
	disconnectWait = 500 * time.Millisecond
)

// readEvents reads up to limit complete events. It returns the id and the data of each.
func readEvents(body *bufio.Reader, limit int) (ids, datas []string) {
	id, data := "", ""
	for len(ids) < limit {
		line, err := body.ReadString('\n')
		if err != nil {
			return ids, datas
		}
		switch line = strings.TrimSuffix(line, "\n"); {
		case line == "":
			ids, datas = append(ids, id), append(datas, data)
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		}
	}
	return ids, datas
}

func TestStreamIsResumedAtTheOtherNodeAfterAKill(t *testing.T) {
	is := is.New(t)
	s := startDeployment(t)
	s.promote(t, s.document(1))
	body := fmt.Sprintf(`{"model":"adviser","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"a"}]}`, resumeTokens)
	request, err := http.NewRequest(http.MethodPost, "http://"+s.nodes[0].callerAddress+"/v1/chat/completions", strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	ids, datas := readEvents(reader, 5)
	is.Equal(len(ids), 5)
	s.nodes[0].signal(t, syscall.SIGKILL)
	s.nodes[0].waitExit(t)
	more, moreDatas := readEvents(reader, resumeEvents)
	ids, datas = append(ids, more...), append(datas, moreDatas...)
	is.True(len(ids) < resumeEvents) // the connection broke in mid-stream
	time.Sleep(disconnectWait)
	rest := call(context.Background(), http.MethodGet,
		"http://"+s.nodes[1].callerAddress+"/v1/requests/"+response.Header.Get("X-Request-ID")+"/stream", "",
		map[string]string{
			"Last-Event-ID":               ids[len(ids)-1],
			"X-Wigeontiller-Resume-Token": response.Header.Get("X-Wigeontiller-Resume-Token"),
		})
	is.NoErr(rest.err)
	is.Equal(rest.status, http.StatusOK)
	more, moreDatas = readEvents(bufio.NewReader(strings.NewReader(rest.body)), resumeEvents)
	ids, datas = append(ids, more...), append(datas, moreDatas...)
	is.Equal(len(ids), resumeEvents)
	for i, id := range ids {
		number, _, _ := strings.Cut(id, ";")
		is.Equal(number, fmt.Sprint(i+1)) // no event is missing or repeated
		if i < resumeTokens {
			is.True(strings.Contains(datas[i], fmt.Sprintf(`-%d "`, i+1))) // the data holds this token
		}
	}
	is.Equal(datas[resumeEvents-1], "[DONE]")
	eventually(t, "the surviving node runs no request", func() bool {
		status, err := s.cli(t, s.nodes[1], "status")
		return err == nil && status["running"].(float64) == 0
	})
}
