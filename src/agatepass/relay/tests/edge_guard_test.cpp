#include "agatepass/relay/edge_guard.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <random>
#include <string>

#include "agatepass/base/http_server.h"
#include "agatepass/base/result_code.h"
#include "gtest/gtest.h"

namespace agatepass::relay {
namespace {

using std::chrono::milliseconds;

/** A server that guards its edge and counts what gets through. */
class EdgeGuardTest : public ::testing::Test {
 protected:
  EdgeGuardTest() { EXPECT_TRUE(this->server.Listen({"127.0.0.1", 0}).ok()); }

  void Receive(base::HttpRequest request,
               const base::HttpResponder& responder) {
    if (!CheckEdgeRequest(request, {}).ok()) {
      responder.Respond({.status = 400, .headers = {{"Connection", "close"}}});
      return;
    }
    StripEdgeHeaders(&request);
    this->passed.push_back(request);
    responder.Respond({.status = 200});
  }

  // Sends raw bytes and returns all that comes back until the peer closes or
  // nothing more is in motion.
  std::string Exchange(const std::string& bytes) {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->server.endpoint().port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)),
              0);
    EXPECT_EQ(send(descriptor, bytes.data(), bytes.size(), 0),
              static_cast<ssize_t>(bytes.size()));
    shutdown(descriptor, SHUT_WR);
    for (int i = 0; i < 20; ++i) this->loop.RunDueHandlers();
    std::string answer;
    std::array<char, 4096> piece{};
    ssize_t count = 0;
    while ((count =
                recv(descriptor, piece.data(), piece.size(), MSG_DONTWAIT)) > 0)
      answer.append(piece.data(), static_cast<size_t>(count));
    close(descriptor);
    for (int i = 0; i < 5; ++i) this->loop.RunDueHandlers();
    return answer;
  }

  base::EventLoop loop;
  std::vector<base::HttpRequest> passed;
  base::HttpServer server{
      this->loop,
      {},
      [this](base::HttpRequest request, const base::HttpResponder& responder) {
        this->Receive(std::move(request), responder);
      }};
};

TEST_F(EdgeGuardTest, SmuggledRequestsNeverPass) {
  const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string size = std::to_string(hidden.size());
  for (const std::string& head : {
           "Content-Length: 0\r\nContent-Length: " + size + "\r\n",
           "Content-Length: " + size + "\r\nContent-Length: 0\r\n",
           std::string("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"),
           std::string("Transfer-Encoding: gzip, chunked\r\n"),
           std::string("Transfer-Encoding: xchunked\r\n"),
           "Content-Length: +" + size + "\r\n",
           "Content-Length : " + size + "\r\n",
       }) {
    this->passed.clear();
    std::string request = "POST /a HTTP/1.1\r\nHost: a\r\n";
    request += head;
    request += "\r\n";
    request += hidden;
    const std::string answer = this->Exchange(request);
    EXPECT_TRUE(this->passed.empty()) << head;
    EXPECT_EQ(answer.find("200 OK"), std::string::npos) << head;
  }
}

TEST_F(EdgeGuardTest, PlainRequestPassesWithoutOwnHeaders) {
  const std::string answer = this->Exchange(
      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
      "Agatepass-Team: root\r\nAGATEPASS-DEADLINE-MS: 9\r\n"
      "Authorization: Bearer x\r\nX-Order: 7\r\n\r\nab");
  EXPECT_NE(answer.find("200 OK"), std::string::npos);
  ASSERT_EQ(this->passed.size(), 1U);
  EXPECT_EQ(this->passed[0].body, "ab");
  ASSERT_EQ(this->passed[0].headers.size(), 1U);
  EXPECT_EQ(this->passed[0].headers[0].name, "X-Order");
}

TEST_F(EdgeGuardTest, MutatedRequestsNeverYieldTheHiddenOne) {
  const std::string whole =
      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 37\r\n"
      "Transfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
  std::mt19937_64 random(2026);
  const std::string pieces("\r\n\t :\0,x0", 9);
  for (int i = 0; i < 2000; ++i) {
    std::string bytes = whole;
    // Only the framing headers of the first request are changed, so that it
    // is never whole before the hidden one begins.
    const size_t start = bytes.find("Transfer");
    for (size_t change = 0; change <= random() % 3; ++change)
      bytes[start + random() % 10] = pieces[random() % pieces.size()];
    this->Exchange(bytes);
    for (const base::HttpRequest& request : this->passed)
      EXPECT_NE(request.path, "/hidden") << bytes;
    this->passed.clear();
  }
}

TEST(SecretsEqual, ComparesWholeSecrets) {
  EXPECT_TRUE(SecretsEqual("token", "token"));
  EXPECT_FALSE(SecretsEqual("tokem", "token"));
  EXPECT_FALSE(SecretsEqual("tokentoken", "token"));
  EXPECT_FALSE(SecretsEqual("", "token"));
  EXPECT_FALSE(SecretsEqual("token", ""));
}

}  // namespace
}  // namespace agatepass::relay
