/** \file
 * Spreads large messages over time, so that they leave most of a link to
 * others. Deterministic: time comes in as a parameter.
 */
#ifndef AGATEPASS_BASE_SEND_PACER_H_
#define AGATEPASS_BASE_SEND_PACER_H_

#include <algorithm>
#include <cstddef>

#include "agatepass/base/time.h"

namespace agatepass::base {

/** Allows the next message once those before have had their time at a given
 * rate, but for the latest kBurst of it: small messages are not held up.
 *
 * \code
 * SendPacer pacer(1e6);
 * if (pacer.MaySend(now)) { Send(text); pacer.OnSent(text.size(), now); }
 * \endcode
 */
class SendPacer {
 public:
  /** \param bytes_per_second rate that the messages may take on average. */
  explicit SendPacer(double bytes_per_second)
      : bytes_per_second(bytes_per_second) {}

  /** Whether a message may be sent now. */
  bool MaySend(Instant now) const { return now + kBurst >= this->free_at; }

  /** Records that a message was sent. */
  void OnSent(size_t bytes, Instant now) {
    const std::chrono::duration<double> time_taken(static_cast<double>(bytes) /
                                                   this->bytes_per_second);
    this->free_at = std::max(this->free_at, now) +
                    std::chrono::duration_cast<Duration>(time_taken);
  }

 private:
  static constexpr Duration kBurst = std::chrono::milliseconds(500);

  double bytes_per_second;
  Instant free_at;
};

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_SEND_PACER_H_
