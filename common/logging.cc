#include "common/logging.h"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace ramppond {
namespace {

namespace log = boost::log;
namespace expressions = boost::log::expressions;

LogFormat& chosenFormat() {
  static LogFormat format = LogFormat::kText;
  return format;
}

std::string& componentName() {
  static std::string name = "ramppond";
  return name;
}

}  // namespace

LogFormat parseLogFormat(const std::string& text) {
  return text == "json" ? LogFormat::kJson : LogFormat::kText;
}

void startLogging(LogFormat format, const std::string& component) {
  chosenFormat() = format;
  componentName() = component;
  log::add_common_attributes();
  const auto time =
      expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f");
  if (format == LogFormat::kJson) {
    log::add_console_log(std::cerr, log::keywords::auto_flush = true,
                         log::keywords::format = expressions::stream
                                                 << R"({"time":")" << time << R"(",)"
                                                 << expressions::smessage << '}');
  } else {
    log::add_console_log(
        std::cerr, log::keywords::auto_flush = true,
        log::keywords::format = expressions::stream << time << ' ' << expressions::smessage);
  }
}

void logChange(const std::string& event, const std::vector<LogField>& fields) {
  static log::sources::logger_mt logger;
  if (chosenFormat() == LogFormat::kJson) {
    nlohmann::ordered_json line;
    line["component"] = componentName();
    line["event"] = event;
    for (const LogField& field : fields) {
      line[field.key] = field.value;
    }
    const std::string object = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    BOOST_LOG(logger) << object.substr(1, object.size() - 2);
    return;
  }
  std::string text = componentName() + ' ' + event;
  for (const LogField& field : fields) {
    text += ' ' + field.key + '=' + field.value;
  }
  BOOST_LOG(logger) << text;
}

}  // namespace ramppond
