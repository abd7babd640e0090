#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "agatepass/control/gate_client.h"
#include "agatepass/control/invocation.h"
#include "agatepass/control/runner.h"

int main(int argc, char** argv) {
  namespace control = agatepass::control;
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const char* token = std::getenv("AGATEPASS_TOKEN");
  const control::ParsedArguments parsed = control::ParseArguments(
      arguments, AGATEPASS_VERSION, token == nullptr ? "" : token);
  if (parsed.ended) {
    (parsed.exit_code == 0 ? std::cout : std::cerr) << parsed.output;
    return parsed.exit_code;
  }
  const control::Invocation& invocation = parsed.invocation;
  control::GateClient client(invocation.gates, invocation.token,
                             invocation.timeout);
  return control::Runner(client, invocation,
                         {.answers = std::cout,
                          .faults = std::cerr,
                          .terminal = isatty(STDERR_FILENO) != 0})
      .Run();
}
