// A TOML file of classes, work types and intents that an operator plans as a whole.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/call_model/planning.h"

namespace ramppond {

/// Reads `path`. On an error gives nothing and sets `error`.
std::optional<std::vector<ConfigurationChange>> readConfigurationFile(const std::string& path,
                                                                      std::string& error);

}  // namespace ramppond
