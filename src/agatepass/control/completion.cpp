#include "agatepass/control/completion.h"

namespace agatepass::control {

std::string BashCompletion() {
  return R"(_agatepassctl() {
  local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}
  local choices="submit job jobs cancel why settle config preset hosts workers
    upstreams metrics timeline drain log-level completion
    --gate --token --json --timeout --help --version"
  case $previous in
    config) choices="get put check status" ;;
    preset) choices="list show use" ;;
    log-level) choices="debug info warning error off" ;;
    --format) choices="text json trace html" ;;
    timeline) choices="--id --from --to --format --follow" ;;
    submit|put|check) COMPREPLY=($(compgen -f -- "$word")); return ;;
  esac
  COMPREPLY=($(compgen -W "$choices" -- "$word"))
}
complete -F _agatepassctl agatepassctl
)";
}

}  // namespace agatepass::control
