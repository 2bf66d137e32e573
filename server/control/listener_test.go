package control_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"cowsliptiller/server/control"
)

const operatorToken = "operators-token-of-tests"

// operatorCall sends a request to the operators' API and decodes its answer.
func operatorCall(g *WithT, h http.Handler, token, method, path, body string) (int, map[string]any) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Cowslip-Actor", "alice")
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	data, err := io.ReadAll(w.Body)
	g.Expect(err).NotTo(HaveOccurred())
	out := map[string]any{}
	if len(data) > 0 {
		g.Expect(json.Unmarshal(data, &out)).To(Succeed(), string(data))
	}
	return w.Code, out
}

func TestOperatorsAPI(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		_, roles := three(t)
		h := roles[1].Handler()
		for _, token := range []string{"", "wrong", operatorToken + "x"} {
			code, body := operatorCall(g, h, token, "GET", "/operator/v1/status", "")
			g.Expect(code).To(Equal(http.StatusUnauthorized))
			g.Expect(body["kind"]).To(Equal("unauthenticated"))
		}
		text, err := json.Marshal(questionnaire)
		g.Expect(err).NotTo(HaveOccurred())
		submission := `{"questionnaire": ` + string(text) + `, "replaces_revision": 0, "submission_id": "s1"}`
		code, body := operatorCall(g, h, operatorToken, "POST", "/operator/v1/questionnaire", submission)
		g.Expect(code).To(Equal(http.StatusOK))
		g.Expect(body["revision"]).To(BeNumerically("==", 1))
		g.Expect(body["actor"]).To(Equal("alice"))
		code, body = operatorCall(g, h, operatorToken, "POST", "/operator/v1/questionnaire", strings.Replace(submission, "s1", "s2", 1))
		g.Expect(code).To(Equal(http.StatusConflict))
		g.Expect(body["kind"]).To(Equal("conflict"))
		g.Expect(body["ran"]).To(Equal("no"))
		code, body = operatorCall(g, h, operatorToken, "POST", "/operator/v1/questionnaire", `{}`)
		g.Expect(code).To(Equal(http.StatusBadRequest))
		g.Expect(body["kind"]).To(Equal("invalid_request"))
		code, body = operatorCall(g, h, operatorToken, "POST", "/operator/v1/keys", `{"workspace": "w1", "command_id": "c1"}`)
		g.Expect(code).To(Equal(http.StatusOK))
		g.Expect(body["secret"]).NotTo(BeEmpty())
		id := body["key_id"].(string)
		code, body = operatorCall(g, h, operatorToken, "DELETE", "/operator/v1/keys/"+id, "")
		g.Expect(code).To(Equal(http.StatusOK))
		g.Expect(body["withdrawn"]).To(BeTrue())
		for _, path := range []string{"configuration", "keys", "hosts", "replicas", "status", "audit?limit=5", "backup"} {
			code, _ = operatorCall(g, h, operatorToken, "GET", "/operator/v1/"+path, "")
			g.Expect(code).To(Equal(http.StatusOK), path)
		}
		code, _ = operatorCall(g, h, operatorToken, "DELETE", "/operator/v1/hosts/nobody", "")
		g.Expect(code).To(Equal(http.StatusNotFound))
	})
}

// A token file that others can read, or an empty one, would open the API.
func TestOperatorTokenFileIsChecked(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "token")
	open := func(text string, mode os.FileMode) error {
		g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		g.Expect(os.Chmod(file, mode)).To(Succeed())
		_, err := control.ReadToken(file)
		return err
	}
	g.Expect(open("short", 0o600)).To(MatchError(ContainSubstring("at least 16")))
	g.Expect(open(operatorToken, 0o644)).To(MatchError(ContainSubstring("0600")))
	g.Expect(open(operatorToken+"\n", 0o600)).To(Succeed())
}
