#include "agatepass/peers/codec.h"

#include <algorithm>
#include <random>

#include "agatepass/peers/tests/sample_messages.h"
#include "gtest/gtest.h"

namespace agatepass::peers {
namespace {

Envelope Wrap(Message message) {
  return {.sender = base::HostId("uus-a-e1"),
          .incarnation = 7,
          .request_id = 42,
          .message = std::move(message)};
}

void ExpectSame(const platform::TaskReport& left,
                const platform::TaskReport& right) {
  EXPECT_EQ(left.task, right.task);
  EXPECT_EQ(left.phase, right.phase);
  EXPECT_EQ(left.declared, right.declared);
  EXPECT_EQ(left.used, right.used);
  EXPECT_EQ(left.result, right.result);
}

void ExpectSame(const std::vector<LocatedReport>& left,
                const std::vector<LocatedReport>& right) {
  ASSERT_EQ(left.size(), right.size());
  for (size_t i = 0; i < left.size(); ++i) {
    EXPECT_EQ(left[i].worker, right[i].worker);
    ExpectSame(left[i].report, right[i].report);
  }
}

void ExpectSame(const Commit& left, const Commit& right) {
  EXPECT_EQ(left.reservation, right.reservation);
  ASSERT_EQ(left.starts.size(), right.starts.size());
  for (size_t i = 0; i < left.starts.size(); ++i) {
    EXPECT_EQ(left.starts[i].task, right.starts[i].task);
    EXPECT_EQ(left.starts[i].team, right.starts[i].team);
    EXPECT_EQ(left.starts[i].declared, right.starts[i].declared);
    EXPECT_EQ(left.starts[i].command, right.starts[i].command);
    EXPECT_EQ(left.starts[i].lease, right.starts[i].lease);
    EXPECT_EQ(left.starts[i].on_lapse, right.starts[i].on_lapse);
  }
}

/** Compares kinds that have no equality of their own member by member. */
struct Comparison {
  const Message& other;

  template <typename Kind>
  void operator()(const Kind& left) const {
    const Kind& right = std::get<Kind>(this->other);
    if constexpr (std::equality_comparable<Kind>) {
      EXPECT_EQ(left, right);
    } else if constexpr (requires { left.reports; }) {
      ExpectSame(left.reports, right.reports);
      if constexpr (requires { left.complete; }) {
        EXPECT_EQ(left.complete, right.complete);
        EXPECT_EQ(left.silent_workers, right.silent_workers);
      }
    } else {
      ExpectSame(left, right);
    }
  }
};

TEST(CodecTest, EveryKindOfMessageComesBackWhole) {
  const std::vector<Message> samples = SampleMessages();
  ASSERT_EQ(samples.size(), std::variant_size_v<Message>);
  for (size_t i = 0; i < samples.size(); ++i) {
    SCOPED_TRACE(MessageName(samples[i]));
    ASSERT_EQ(samples[i].index(), i);
    const absl::StatusOr<Envelope> back =
        DecodeEnvelope(EncodeEnvelope(Wrap(samples[i])));
    ASSERT_TRUE(back.ok()) << back.status();
    EXPECT_EQ(back->sender, base::HostId("uus-a-e1"));
    EXPECT_EQ(back->incarnation, 7);
    EXPECT_EQ(back->request_id, 42);
    ASSERT_EQ(back->message.index(), i);
    std::visit(Comparison{back->message}, samples[i]);
  }
}

TEST(CodecTest, NamesFollowTheOrderOfTheKinds) {
  EXPECT_EQ(MessageName(Heartbeat{}), "heartbeat");
  EXPECT_EQ(MessageName(Release{}), "release");
  EXPECT_EQ(MessageName(TaskStopAnswer{}), "task stop answer");
  EXPECT_EQ(MessageName(Handover{}), "handover");
}

TEST(CodecTest, ShortBytesAreRefused) {
  const std::vector<std::byte> bytes =
      EncodeEnvelope(Wrap(ConfigText{.revision = 3, .text = "text"}));
  for (size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_EQ(base::ResultCodeOf(
                  DecodeEnvelope(std::span(bytes).first(length)).status()),
              base::ResultCode::kInvalidRequest)
        << length;
  }
}

TEST(CodecTest, OversizeBytesAreRefused) {
  const std::vector<std::byte> bytes(kMaximumEnvelopeBytes + 8);
  EXPECT_EQ(base::ResultCodeOf(DecodeEnvelope(bytes).status()),
            base::ResultCode::kInvalidRequest);
}

TEST(CodecTest, NegativeResourcesAreRefused) {
  const Handover fine;
  const Heartbeat bad{.room = {.free = {.millicores = -1}}};
  EXPECT_TRUE(DecodeEnvelope(EncodeEnvelope(Wrap(fine))).ok());
  const absl::StatusOr<Envelope> back =
      DecodeEnvelope(EncodeEnvelope(Wrap(bad)));
  EXPECT_EQ(base::ResultCodeOf(back.status()),
            base::ResultCode::kInvalidRequest);
}

TEST(CodecTest, UnknownResultCodeIsRefused) {
  const JobAnswer bad{.code = static_cast<base::ResultCode>(9999)};
  const absl::StatusOr<Envelope> back =
      DecodeEnvelope(EncodeEnvelope(Wrap(bad)));
  ASSERT_FALSE(back.ok());
  EXPECT_NE(back.status().message().find("9999"), absl::string_view::npos);
}

// Bytes that decode must also encode and decode again: nothing read from
// damaged bytes may bring the process down later.
TEST(CodecTest, DamagedBytesAreRefusedOrReadAsAnEnvelope) {
  constexpr int kRoundsPerKind = 400;
  std::mt19937_64 random(20240611);
  for (const Message& sample : SampleMessages()) {
    const std::vector<std::byte> whole = EncodeEnvelope(Wrap(sample));
    for (int round = 0; round < kRoundsPerKind; ++round) {
      std::vector<std::byte> bytes = whole;
      const size_t damages = 1 + random() % 8;
      for (size_t i = 0; i < damages; ++i) {
        bytes[random() % bytes.size()] = static_cast<std::byte>(random());
      }
      const absl::StatusOr<Envelope> envelope = DecodeEnvelope(bytes);
      if (!envelope.ok()) {
        EXPECT_EQ(base::ResultCodeOf(envelope.status()),
                  base::ResultCode::kInvalidRequest);
        continue;
      }
      EXPECT_TRUE(DecodeEnvelope(EncodeEnvelope(*envelope)).ok());
    }
  }
}

TEST(CodecTest, RandomBytesAreRefusedOrReadAsAnEnvelope) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 5000; ++round) {
    std::vector<std::byte> bytes(8 * (random() % 40));
    std::generate(bytes.begin(), bytes.end(),
                  [&] { return static_cast<std::byte>(random() % 4); });
    // Most rounds get a valid segment table, or nothing beyond it is reached.
    if (bytes.size() >= 8 && round % 4 != 0) {
      std::fill(bytes.begin(), bytes.begin() + 8, std::byte{0});
      bytes[4] = static_cast<std::byte>(bytes.size() / 8 - 1);
    }
    const absl::StatusOr<Envelope> envelope = DecodeEnvelope(bytes);
    if (!envelope.ok()) {
      EXPECT_EQ(base::ResultCodeOf(envelope.status()),
                base::ResultCode::kInvalidRequest);
    }
  }
}

}  // namespace
}  // namespace agatepass::peers
