#include "agatepass/peers/peer_mailbox.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace agatepass::peers {

PeerMailbox::PeerMailbox() {
  std::array<int, 2> ends{-1, -1};
  if (::pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) == 0) {
    this->wake_read = ends[0];
    this->wake_write = ends[1];
  }
}

PeerMailbox::~PeerMailbox() {
  if (this->wake_read >= 0) ::close(this->wake_read);
  if (this->wake_write >= 0) ::close(this->wake_write);
}

void PeerMailbox::Push(PeerCommand command) {
  const std::lock_guard lock(this->mutex);
  this->commands.push_back(std::move(command));
  if (this->commands.size() > 1) return;  // A wake-up is on its way.
  // A full pipe wakes the thread as well.
  [[maybe_unused]] const ssize_t written = ::write(this->wake_write, "", 1);
}

std::vector<PeerCommand> PeerMailbox::TakeCommands() {
  const std::lock_guard lock(this->mutex);
  return std::exchange(this->commands, {});
}

}  // namespace agatepass::peers
