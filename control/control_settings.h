// Settings of ramppond-control.
#pragma once

#include <optional>
#include <string>

#include "common/logging.h"
#include "common/settings.h"
#include "core/time.h"

namespace ramppond {

struct ControlSettings {
  std::string name;
  Endpoint address;  ///< Listens for other members, daemons and operators.
  Endpoint admin;    ///< Listens for requests to the admin pages.
  std::string data_folder;
  std::string
      platform_url;  ///< http://HOST:PORT/PATH of the platform's server list; empty for none.
  Duration election_timeout{0};
  Duration heartbeat_interval{0};
  std::uint64_t entries_per_snapshot = 0;
  LogFormat log_format = LogFormat::kText;
};

/// Reads the settings file `path`. On failure returns std::nullopt and sets `error`.
std::optional<ControlSettings> readControlSettings(const std::string& path, std::string& error);

}  // namespace ramppond
