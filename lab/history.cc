#include "lab/history.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <nlohmann/json.hpp>

namespace ramppond {
namespace {

constexpr std::array<const char*, 9> kNames = {
    "caller_sent", "caller_answered", "backend_ran",   "backend_draining", "backend_stopped",
    "in_force",    "plan_confirmed",  "server_killed", "attempt_sent"};

struct TextField {
  const char* name;
  std::string HistoryEvent::*member;
};

constexpr std::array<TextField, 11> kTextFields = {{{"who", &HistoryEvent::who},
                                                    {"nonce", &HistoryEvent::nonce},
                                                    {"key", &HistoryEvent::key},
                                                    {"work", &HistoryEvent::work},
                                                    {"kind", &HistoryEvent::kind},
                                                    {"place", &HistoryEvent::place},
                                                    {"call", &HistoryEvent::call},
                                                    {"parent", &HistoryEvent::parent},
                                                    {"outcome", &HistoryEvent::outcome},
                                                    {"error", &HistoryEvent::error},
                                                    {"detail", &HistoryEvent::detail}}};

std::optional<HistoryEventType> parseType(const std::string& name) {
  for (std::size_t index = 0; index < kNames.size(); ++index) {
    if (name == kNames.at(index)) {
      return static_cast<HistoryEventType>(index);
    }
  }
  return std::nullopt;
}

}  // namespace

std::string historyEventName(HistoryEventType type) {
  return kNames.at(static_cast<std::size_t>(type));
}

HistoryFile::HistoryFile(const std::string& path) {
  if (!path.empty()) {
    constexpr mode_t kFileMode = 0644;
    descriptor_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  }
}

HistoryFile::~HistoryFile() {
  if (descriptor_ >= 0) {
    ::close(descriptor_);
  }
}

void HistoryFile::record(const HistoryEvent& event) {
  if (descriptor_ < 0) {
    return;
  }
  nlohmann::ordered_json line;
  line["t"] = event.time_us;
  line["event"] = historyEventName(event.type);
  for (const TextField& field : kTextFields) {
    if (!(event.*field.member).empty()) {
      line[field.name] = event.*field.member;
    }
  }
  if (event.number != 0) {
    line["number"] = event.number;
  }
  const std::string text = line.dump() + '\n';
  const std::lock_guard<std::mutex> lock(mutex_);
  const ssize_t written = ::write(descriptor_, text.data(), text.size());
  static_cast<void>(written);
}

std::optional<std::vector<HistoryEvent>> readHistory(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return std::nullopt;
  }
  std::vector<HistoryEvent> events;
  std::string text;
  while (std::getline(file, text)) {
    const nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
    if (!line.is_object()) {
      continue;
    }
    const auto type = parseType(line.value("event", ""));
    if (!type) {
      continue;
    }
    HistoryEvent event;
    event.type = *type;
    event.time_us = line.value("t", std::int64_t{0});
    event.number = line.value("number", std::uint64_t{0});
    for (const TextField& field : kTextFields) {
      event.*field.member = line.value(field.name, "");
    }
    events.push_back(std::move(event));
  }
  return events;
}

}  // namespace ramppond
