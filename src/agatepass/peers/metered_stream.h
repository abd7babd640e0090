/** \file
 * A byte stream that counts what passes.
 */
#ifndef AGATEPASS_PEERS_METERED_STREAM_H_
#define AGATEPASS_PEERS_METERED_STREAM_H_

#include <kj/async-io.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <functional>
#include <utility>

namespace agatepass::peers {

/** Passes all calls on to another stream and tells `count` the bytes. */
class MeteredStream final : public kj::AsyncIoStream {
 public:
  using Count = std::function<void(size_t sent, size_t received)>;

  MeteredStream(kj::Own<kj::AsyncIoStream> inner, Count count)
      : inner(kj::mv(inner)), count(std::move(count)) {
    const int on = 1;  // Messages are small and each waits for its answer.
    this->inner->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }

  kj::Promise<size_t> tryRead(void* buffer, size_t least,
                              size_t most) override {
    return this->inner->tryRead(buffer, least, most).then([this](size_t bytes) {
      this->count(0, bytes);
      return bytes;
    });
  }
  kj::Promise<void> write(const void* buffer, size_t size) override {
    this->count(size, 0);
    return this->inner->write(buffer, size);
  }
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    size_t size = 0;
    for (const auto& piece : pieces) size += piece.size();
    this->count(size, 0);
    return this->inner->write(pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override {
    return this->inner->whenWriteDisconnected();
  }
  void shutdownWrite() override { this->inner->shutdownWrite(); }
  void abortRead() override { this->inner->abortRead(); }

 private:
  kj::Own<kj::AsyncIoStream> inner;
  Count count;
};

}  // namespace agatepass::peers

#endif  // AGATEPASS_PEERS_METERED_STREAM_H_
