#include "agatepass/node/stop_sequence.h"

#include "spdlog/spdlog.h"

namespace agatepass::node {

namespace {

// Time for the platform's balancer to notice that the host is not ready.
constexpr base::Duration kReadinessNotice = std::chrono::milliseconds(500);
constexpr base::Duration kCheckPeriod = std::chrono::milliseconds(20);

}  // namespace

void StopSequence::Begin() {
  if (this->begun) {
    spdlog::warn("asked to stop twice; leaving at once");
    this->loop.Stop();
    return;
  }
  this->begun = true;
  spdlog::info("planned stop begins");
  this->task.Drain([this] { this->drained = true; });
  this->listen_timer =
      this->loop.After(kReadinessNotice, [this] { this->stop_listening(); });
  this->check_timer =
      this->loop.Every(kCheckPeriod, [this] { this->CheckQuiet(); });
  this->deadline_timer = this->loop.After(this->deadline, [this] {
    spdlog::error("planned stop reached its deadline with work in flight");
    this->loop.Stop();
  });
}

void StopSequence::CheckQuiet() {
  if (!this->drained || !this->is_quiet()) return;
  this->is_complete = true;
  this->loop.Stop();
}

}  // namespace agatepass::node
