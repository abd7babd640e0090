#include "agatepass/control/invocation.h"

#include <algorithm>
#include <memory>
#include <optional>

#include "CLI/CLI.hpp"
#include "agatepass/control/completion.h"
#include "agatepass/control/files.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace agatepass::control {

namespace {

using base::HttpMethod;
using Json = nlohmann::ordered_json;

constexpr int64_t kMaxTimeoutSeconds = 3600;

constexpr std::string_view kExamples = R"(Examples:
  agatepassctl --gate 127.0.0.1:7001 submit letters.json
  agatepassctl --gate 127.0.0.1:7001 why j-7
  agatepassctl config get > cell.ini && agatepassctl config put cell.ini
  agatepassctl preset use peak
  agatepassctl cancel --team letters
  agatepassctl timeline --id j-7 --format html > j-7.html
  source <(agatepassctl completion)
Exit codes: 0 done, 2 wrong command line; else the class of the result code:
  10 bad request, 20 refused, 30 not evaluated, 40 unknown, 50 ran and failed,
  60 cancelled or superseded, 70 fault of the system.
AGATEPASS_TOKEN gives the token, AGATEPASS_GATE the gates.)";

/** Values that the options are parsed into. */
struct Arguments {
  std::vector<std::string> gates;
  int64_t timeout_seconds = 10;
  std::string id;
  std::string team;
  std::string state;
  std::string file;
  std::string name;
  std::string from;
  std::string to;
  std::string format = "text";
  std::optional<uint64_t> expected;
  bool dry_run = false;
  bool ran = false;
  bool not_run = false;
};

/** Builds the commands on one CLI::App. */
class CommandLine {
 public:
  explicit CommandLine(ParsedArguments& parsed) : parsed(parsed) {
    this->app.require_subcommand(1);
    this->app.footer(std::string(kExamples));
    this->AddOptions();
    this->AddJobCommands();
    this->AddConfigCommands();
    this->AddPresetCommands();
    this->AddViewCommands();
    this->AddOperatorCommands();
  }

  CLI::App app{"Drives agatepass and asks it about its decisions.",
               "agatepassctl"};
  Arguments arguments;

 private:
  using Build = std::function<void()>;

  CLI::App* AddCommand(CLI::App& parent, const std::string& name,
                       const std::string& help, Build build) {
    CLI::App* command = parent.add_subcommand(name, help);
    command->callback(std::move(build));
    return command;
  }

  void Send(HttpMethod method, std::string path,
            std::vector<base::HttpHeader> query = {}, std::string body = "") {
    std::erase_if(query, [](const auto& part) { return part.value.empty(); });
    this->parsed.invocation.requests.push_back({.method = method,
                                                .path = std::move(path),
                                                .query = std::move(query),
                                                .body = std::move(body)});
  }

  std::string WithId(std::string_view prefix, std::string_view id) {
    // Tasks are named JOB/INDEX/ATTEMPT; nothing may climb out of the prefix.
    const bool plain =
        !id.empty() && id.front() != '/' &&
        id.find("..") == std::string_view::npos &&
        std::all_of(id.begin(), id.end(), [](char character) {
          return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
                 std::string_view("-._~:/").find(character) !=
                     std::string_view::npos;
        });
    if (!plain) {
      throw CLI::ValidationError(fmt::format(
          "\"{}\" is not an id: use letters, digits and -._~:/", id));
    }
    return fmt::format("{}{}", prefix, id);
  }

  std::string Read(const std::string& path) {
    auto text = ReadTextFile(path);
    if (!text.ok()) {
      throw CLI::ValidationError(std::string(text.status().message()));
    }
    return *std::move(text);
  }

  void AddOptions() {
    Invocation& invocation = this->parsed.invocation;
    this->app
        .add_option("--gate", this->arguments.gates,
                    "Entry host as IP:PORT; the next one is tried only if "
                    "nothing was sent to the one before")
        ->envname("AGATEPASS_GATE")
        ->allow_extra_args(false)
        ->delimiter(',');
    this->app.add_option("--token", invocation.token,
                         "Token of a team or of the operators");
    this->app.add_flag("--json", invocation.json, "Print the answers as JSON");
    this->app
        .add_option("--timeout", this->arguments.timeout_seconds,
                    "Seconds to wait for an answer")
        ->check(CLI::Range(int64_t{1}, kMaxTimeoutSeconds));
  }

  void AddJobCommands() {
    Arguments& values = this->arguments;
    CLI::App* submit = this->AddCommand(
        this->app, "submit", "Submit the jobs of a JSON file", [&] {
          auto requests = MakeSubmissions(this->Read(values.file));
          if (!requests.ok()) {
            throw CLI::ValidationError(
                fmt::format("file \"{}\": {}", values.file,
                            std::string(requests.status().message())));
          }
          this->parsed.invocation.requests = *std::move(requests);
        });
    submit->add_option("FILE", values.file, "JSON file, - for standard input")
        ->required();
    this->AddIdCommand("job", "Show one job and its tasks", HttpMethod::kGet,
                       "/v1/jobs/");
    CLI::App* jobs = this->AddCommand(this->app, "jobs", "List jobs", [&] {
      this->Send(HttpMethod::kGet, "/v1/jobs",
                 {{"team", values.team}, {"state", values.state}});
    });
    jobs->add_option("--team", values.team, "Only of this team");
    jobs->add_option("--state", values.state, "Only in this state");
    this->AddCancel();
    this->AddIdCommand("why", "Tell why a job, task or request went as it did",
                       HttpMethod::kGet, "/v1/why/");
    CLI::App* settle = this->AddCommand(
        this->app, "settle", "Decide whether a task in doubt has run", [&] {
          this->Send(HttpMethod::kPost,
                     this->WithId("/v1/tasks/", values.id) + "/settle", {},
                     Json{{"ran", values.ran}}.dump());
        });
    settle->add_option("ID", values.id, "Task")->required();
    CLI::Option_group* verdict = settle->add_option_group("verdict");
    verdict->add_flag("--ran", values.ran, "It has run");
    verdict->add_flag("--not-run", values.not_run, "It has not run");
    verdict->require_option(1);
  }

  void AddCancel() {
    Arguments& values = this->arguments;
    CLI::App* cancel = this->AddCommand(
        this->app, "cancel", "Cancel a job, or all jobs of a team", [&] {
          if (values.team.empty()) {
            this->Send(HttpMethod::kDelete,
                       this->WithId("/v1/jobs/", values.id));
            return;
          }
          this->Send(HttpMethod::kDelete, "/v1/jobs", {{"team", values.team}});
          this->parsed.invocation.until_none_remain = true;
        });
    CLI::Option_group* target = cancel->add_option_group("target");
    target->add_option("ID", values.id, "Job");
    target->add_option("--team", values.team, "All jobs of this team");
    target->require_option(1);
  }

  void AddIdCommand(const std::string& name, const std::string& help,
                    HttpMethod method, const std::string& prefix) {
    CLI::App* command =
        this->AddCommand(this->app, name, help, [this, method, prefix] {
          this->Send(method, this->WithId(prefix, this->arguments.id));
        });
    command->add_option("ID", this->arguments.id, "Id")->required();
  }

  void AddConfigCommands() {
    Arguments& values = this->arguments;
    CLI::App* config =
        this->app.add_subcommand("config", "The operators' configuration");
    config->require_subcommand(1);
    this->AddCommand(*config, "get", "Print it, headed by its revision", [&] {
      this->Send(HttpMethod::kGet, "/v1/config");
      this->parsed.invocation.view = View::kConfiguration;
    });
    CLI::App* put = this->AddCommand(
        *config, "put", "Replace the revision that you saw", [&] {
          const std::string text = this->Read(values.file);
          const auto expected =
              values.expected ? values.expected : RevisionOfText(text);
          if (!expected) {
            throw CLI::ValidationError(fmt::format(
                "file \"{}\" does not begin with \"; revision N\": start from "
                "`config get`, or give --expected N",
                values.file));
          }
          this->Send(HttpMethod::kPut, "/v1/config",
                     {{"expected", std::to_string(*expected)},
                      {"dry_run", values.dry_run ? "true" : ""}},
                     text);
        });
    put->add_option("FILE", values.file, "INI file")->required();
    put->add_option("--expected", values.expected, "Revision that you saw");
    put->add_flag("--dry-run", values.dry_run, "Only say what would change");
    CLI::App* check = this->AddCommand(
        *config, "check", "Check a file and store nothing", [&] {
          this->Send(HttpMethod::kPost, "/v1/config/check", {},
                     this->Read(values.file));
        });
    check->add_option("FILE", values.file, "INI file")->required();
    this->AddCommand(
        *config, "status", "Revision in force on each entry host",
        [&] { this->Send(HttpMethod::kGet, "/v1/config/status"); });
  }

  void AddPresetCommands() {
    Arguments& values = this->arguments;
    CLI::App* preset =
        this->app.add_subcommand("preset", "The presets and which is in force");
    preset->require_subcommand(1);
    this->AddCommand(*preset, "list", "List the presets",
                     [&] { this->Send(HttpMethod::kGet, "/v1/presets"); });
    CLI::App* show = this->AddCommand(*preset, "show", "Show one preset", [&] {
      this->Send(HttpMethod::kGet, this->WithId("/v1/presets/", values.name));
    });
    show->add_option("NAME", values.name, "Preset")->required();
    CLI::App* use = this->AddCommand(*preset, "use", "Put it in force", [&] {
      Json body = {{"name", values.name}};
      if (values.expected) body["expected"] = *values.expected;
      this->Send(HttpMethod::kPut, "/v1/presets/in_force", {}, body.dump());
    });
    use->add_option("NAME", values.name, "Preset")->required();
    use->add_option("--expected", values.expected,
                    "Revision that you saw; without it, the newest");
  }

  void AddViewCommands() {
    for (const std::string name : {"hosts", "workers", "upstreams"}) {
      this->AddCommand(this->app, name, "List the " + name, [this, name] {
        this->Send(HttpMethod::kGet, "/v1/" + name);
      });
    }
    this->AddCommand(this->app, "metrics", "Print the metrics", [this] {
      this->Send(HttpMethod::kGet, "/metrics");
      this->parsed.invocation.view = View::kVerbatim;
    });
    Arguments& values = this->arguments;
    CLI::App* timeline = this->AddCommand(
        this->app, "timeline", "Events of all entry hosts", [&] {
          Invocation& invocation = this->parsed.invocation;
          const bool json = invocation.json || invocation.follow;
          this->Send(HttpMethod::kGet, "/v1/timeline",
                     {{"id", values.id},
                      {"from", values.from},
                      {"to", values.to},
                      {"format", json ? "json" : values.format}});
          invocation.view = View::kVerbatim;
        });
    timeline->add_option("--id", values.id, "Only of this job, task, request");
    timeline->add_option("--from", values.from,
                         "First time, microseconds since 1970");
    timeline->add_option("--to", values.to, "Time after the last one");
    timeline->add_option("--format", values.format, "Form")
        ->check(CLI::IsMember({"text", "json", "trace", "html"}));
    timeline->add_flag("--follow", this->parsed.invocation.follow,
                       "Print new events until interrupted");
  }

  void AddOperatorCommands() {
    Arguments& values = this->arguments;
    this->AddCommand(this->app, "drain",
                     "Let this entry host hand over and stop",
                     [this] { this->Send(HttpMethod::kPost, "/v1/drain"); });
    CLI::App* level = this->AddCommand(
        this->app, "log-level", "Change what an entry host logs", [&] {
          this->Send(HttpMethod::kPut, "/v1/log_level", {},
                     Json{{"level", values.name}}.dump());
        });
    level->add_option("LEVEL", values.name, "Lowest level written")
        ->required()
        ->check(CLI::IsMember({"debug", "info", "warning", "error", "off"}));
    this->AddCommand(this->app, "completion", "Print completion for bash",
                     [this] {
                       this->parsed.ended = true;
                       this->parsed.output = BashCompletion();
                     });
  }

  ParsedArguments& parsed;
};

void ReadGates(const Arguments& arguments, ParsedArguments& parsed) {
  for (const std::string& gate : arguments.gates) {
    const auto endpoint = base::ParseEndpoint(gate);
    if (!endpoint) {
      throw CLI::ValidationError(
          fmt::format("--gate \"{}\" is not IP:PORT", gate));
    }
    parsed.invocation.gates.push_back(*endpoint);
  }
  if (parsed.invocation.gates.empty() && !parsed.ended) {
    throw CLI::ValidationError("give --gate IP:PORT or set AGATEPASS_GATE");
  }
}

}  // namespace

ParsedArguments ParseArguments(std::span<const std::string> arguments,
                               const std::string& version,
                               const std::string& default_token) {
  ParsedArguments parsed;
  parsed.invocation.token = default_token;
  CommandLine line(parsed);
  line.app.set_version_flag("--version", version);
  // CLI11 takes the arguments in reverse and reports by exceptions.
  std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
  try {
    line.app.parse(std::move(reversed));
    ReadGates(line.arguments, parsed);
    parsed.invocation.timeout =
        std::chrono::seconds(line.arguments.timeout_seconds);
  } catch (const CLI::ParseError& error) {
    std::ostringstream text;
    const bool wrong = line.app.exit(error, text, text) != 0;
    parsed.ended = true;
    parsed.exit_code = wrong ? kUsageExitCode : 0;
    parsed.output = text.str();
  }
  return parsed;
}

}  // namespace agatepass::control
