/** \file
 * What the platform's store does, as plain code with the time passed in: the
 * in-memory and the HTTP stand-in both answer from it.
 */
#ifndef FAKES_STORE_MODEL_H_
#define FAKES_STORE_MODEL_H_

#include <cstdint>
#include <map>
#include <string>

#include "agatepass/base/time.h"
#include "agatepass/platform/store.h"

namespace agatepass::fakes {

/** Keys with revisions and leases. */
class StoreModel {
 public:
  /** Evaluates one call; a watch is answered as a read, whatever it waits for.
   */
  platform::StoreReply Handle(const platform::StoreCall& call,
                              base::Instant now);

  /** Whether `key` has a revision above `revision`. */
  bool HasChanged(const std::string& key, platform::Revision revision) const;

  /** Writes evaluated as done so far. */
  uint64_t writes() const { return this->done_writes; }

  /** Returns a copy of what is stored, to bring it back later as an old store.
   */
  StoreModel Snapshot() const { return *this; }

 private:
  struct Value {
    std::string text;
    platform::Revision revision = 0;
    base::Instant lapses = base::Instant::max();
  };

  void DropLapsed(base::Instant now);
  platform::StoreEntry Read(const std::string& key) const;
  bool Write(const platform::StoreCall& call, base::Instant now);

  std::map<std::string, Value> values;
  platform::Revision newest = 0;
  uint64_t done_writes = 0;
};

}  // namespace agatepass::fakes

#endif  // FAKES_STORE_MODEL_H_
