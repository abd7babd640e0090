/** \file
 * Who a caller is, by the token that it sends.
 */
#ifndef AGATEPASS_GATE_ACCESS_H_
#define AGATEPASS_GATE_ACCESS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "agatepass/base/http_message.h"
#include "agatepass/base/identifier.h"

namespace agatepass::gate {

/** A team and its secret. */
struct TeamToken {
  base::TeamId team;
  std::string token;
};

/** Who sent a request. */
struct Caller {
  /** The caller's team; empty for an operator. */
  base::TeamId team;
  bool is_operator = false;
};

/** Knows the tokens. They are compared in constant time and never logged.
 *
 * \code
 * Access access("operators' token");
 * access.SetTeams(tokens);
 * absl::StatusOr<Caller> caller = access.Identify(request);
 * \endcode
 */
class Access {
 public:
  explicit Access(std::string_view operator_token)
      : operator_token(operator_token) {}

  /** Replaces the tokens of the teams. */
  void SetTeams(std::span<const TeamToken> tokens) {
    this->teams.assign(tokens.begin(), tokens.end());
  }

  /** Reads the header Authorization: Bearer TOKEN.
   * \return kUnauthenticated if it is missing or known to nobody.
   */
  absl::StatusOr<Caller> Identify(const base::HttpRequest& request) const;

 private:
  std::string operator_token;
  std::vector<TeamToken> teams;
};

}  // namespace agatepass::gate

#endif  // AGATEPASS_GATE_ACCESS_H_
