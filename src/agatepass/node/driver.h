/** \file
 * Carries the effects of an entry host out through clients of the platform, and
 * brings their replies back. The daemon and the fault tests share it; they
 * differ in the clients and in the clock.
 */
#ifndef AGATEPASS_NODE_DRIVER_H_
#define AGATEPASS_NODE_DRIVER_H_

#include <concepts>
#include <functional>
#include <utility>

#include "agatepass/base/time.h"
#include "agatepass/node/effects.h"
#include "agatepass/node/entry_host.h"
#include "agatepass/platform/store.h"
#include "agatepass/platform/worker.h"

namespace agatepass::node {

/** Tells the monotonic and the wall time. */
template <typename Type>
concept ClockSource = requires(const Type& clock) {
  { clock.Now() } -> std::same_as<base::Instant>;
  { clock.Wall() } -> std::same_as<base::WallTime>;
};

/** Drives one entry host.
 *
 * \code
 * Driver driver(host, store, workers, clock, [](Effects& rest) { ... });
 * driver.Run([&](base::Instant now, base::WallTime wall, Effects& effects) {
 *   host.OnTick(now, wall, effects);
 * });
 * \endcode
 */
template <platform::Store Store, platform::WorkerControl Workers,
          ClockSource Clock>
class Driver {
 public:
  /** Takes what is left of the effects: answers, events and the fence. */
  using Sink = std::function<void(Effects&)>;

  Driver(EntryHost& host, Store& store, Workers& workers, const Clock& clock,
         Sink sink)
      : host(host),
        store(store),
        workers(workers),
        clock(clock),
        sink(std::move(sink)) {}

  /** Gives `input` the time and carries out the effects that it appends. */
  template <typename Input>
  void Run(Input&& input) {
    Effects effects;
    input(this->clock.Now(), this->clock.Wall(), effects);
    this->Carry(effects);
  }

 private:
  void Carry(Effects& effects) {
    for (jobs::NumberedStoreCall& item : effects.store_calls) {
      this->store.Call(
          std::move(item.call),
          [this, id = item.call_id](const platform::StoreReply& reply) {
            this->Run(
                [&](base::Instant now, base::WallTime wall, Effects& next) {
                  this->host.OnStoreReply(id, reply, now, wall, next);
                });
          });
    }
    for (NumberedWorkerCall& item : effects.worker_calls) {
      this->workers.Call(
          std::move(item.call),
          [this, id = item.call_id](const platform::WorkerReply& reply) {
            this->Run(
                [&](base::Instant now, base::WallTime wall, Effects& next) {
                  this->host.OnWorkerReply(id, reply, now, wall, next);
                });
          });
    }
    this->sink(effects);
  }

  EntryHost& host;
  Store& store;
  Workers& workers;
  const Clock& clock;
  Sink sink;
};

}  // namespace agatepass::node

#endif  // AGATEPASS_NODE_DRIVER_H_
