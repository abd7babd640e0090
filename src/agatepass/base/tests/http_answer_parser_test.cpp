// The client reads what any server may send, in pieces of any size.
#include "agatepass/base/http_answer_parser.h"

#include <string>
#include <string_view>
#include <utility>

#include "gtest/gtest.h"

namespace agatepass::base {
namespace {

using Status = HttpAnswerParser::Status;

constexpr size_t kMaxBodyBytes = 64;

/** Parses a text in pieces of `size` bytes. */
Status ParseInPieces(HttpAnswerParser& parser, std::string_view text,
                     size_t size) {
  Status status = Status::kIncomplete;
  while (!text.empty()) {
    status = parser.Parse(text.substr(0, size));
    text.remove_prefix(std::min(size, text.size()));
  }
  return status;
}

class HttpAnswerParserInPieces : public testing::TestWithParam<size_t> {};

TEST_P(HttpAnswerParserInPieces, ReadsBodiesOfKnownLength) {
  HttpAnswerParser parser(kMaxBodyBytes);
  EXPECT_EQ(ParseInPieces(parser,
                          "HTTP/1.1 409 Conflict\r\nX-Odd:  a b \r\n"
                          "Content-Length: 4\r\n\r\nbody",
                          GetParam()),
            Status::kComplete);
  EXPECT_TRUE(parser.MayReuseConnection());
  const HttpAnswer answer = parser.TakeAnswer();
  EXPECT_EQ(answer.status, 409);
  EXPECT_EQ(answer.body, "body");
  EXPECT_EQ(FindHeader(answer.headers, "x-odd"), "a b");
}

TEST_P(HttpAnswerParserInPieces, ReadsChunksAndTrailers) {
  HttpAnswerParser parser(kMaxBodyBytes);
  EXPECT_EQ(ParseInPieces(parser,
                          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                          "\r\n3\r\nabc\r\nA;x=1\r\n0123456789\r\n0\r\n"
                          "Trailer: 1\r\n\r\n",
                          GetParam()),
            Status::kComplete);
  EXPECT_TRUE(parser.MayReuseConnection());
  EXPECT_EQ(parser.TakeAnswer().body, "abc0123456789");
}

TEST_P(HttpAnswerParserInPieces, SkipsInterimAnswers) {
  HttpAnswerParser parser(kMaxBodyBytes);
  EXPECT_EQ(ParseInPieces(parser,
                          "HTTP/1.1 100 Continue\r\n\r\n"
                          "HTTP/1.1 204 No Content\r\n\r\n",
                          GetParam()),
            Status::kComplete);
  EXPECT_EQ(parser.TakeAnswer().status, 204);
}

TEST_P(HttpAnswerParserInPieces, ABodyWithoutLengthEndsWithTheConnection) {
  HttpAnswerParser parser(kMaxBodyBytes);
  EXPECT_EQ(ParseInPieces(parser, "HTTP/1.0 200 OK\r\n\r\nrest", GetParam()),
            Status::kIncomplete);
  EXPECT_EQ(parser.OnConnectionEnd(), Status::kComplete);
  EXPECT_FALSE(parser.MayReuseConnection());
  EXPECT_EQ(parser.TakeAnswer().body, "rest");
}

TEST_P(HttpAnswerParserInPieces, RejectsWhatIsMalformed) {
  for (const std::string_view text :
       {"\r\n", "HTTP/2 200 OK\r\n", "HTTP/1.1 20 OK\r\n",
        "HTTP/1.1 999 OK\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"}) {
    HttpAnswerParser parser(kMaxBodyBytes);
    EXPECT_EQ(ParseInPieces(parser, text, GetParam()), Status::kMalformed)
        << text;
  }
}

TEST_P(HttpAnswerParserInPieces, RejectsBodiesAndHeadsThatAreTooLarge) {
  for (const std::string_view text :
       {"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n"}) {
    HttpAnswerParser parser(kMaxBodyBytes);
    EXPECT_EQ(ParseInPieces(parser, text, GetParam()), Status::kTooLarge);
  }
  HttpAnswerParser parser(kMaxBodyBytes);
  const std::string endless = "HTTP/1.1 200 OK\r\nX: " +
                              std::string(HttpAnswerParser::kMaxHeadBytes, 'x');
  EXPECT_EQ(ParseInPieces(parser, endless, GetParam()), Status::kMalformed);
}

INSTANTIATE_TEST_SUITE_P(Sizes, HttpAnswerParserInPieces,
                         testing::Values(1, 2, 7, 100'000));

TEST(HttpAnswerParser, AConnectionWithBytesBeyondTheAnswerIsNotUsedAgain) {
  HttpAnswerParser parser(kMaxBodyBytes);
  EXPECT_EQ(parser.Parse("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxy"),
            Status::kComplete);
  EXPECT_FALSE(parser.MayReuseConnection());
}

TEST(HttpAnswerParser, AConnectionThatTheServerClosesIsNotUsedAgain) {
  HttpAnswerParser parser(kMaxBodyBytes);
  EXPECT_EQ(parser.Parse("HTTP/1.1 200 OK\r\nConnection: x, Close\r\n"
                         "Content-Length: 0\r\n\r\n"),
            Status::kComplete);
  EXPECT_FALSE(parser.MayReuseConnection());
}

}  // namespace
}  // namespace agatepass::base
