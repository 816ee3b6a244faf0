// Recorded forms of what other programs, operators and earlier versions rely on: messages between
// processes, stored files, settings, log lines, answers. A test compares what the code makes now
// with the recording; it never updates one by itself.
//
// With RAMPPOND_RECORD_GOLDEN set in the environment the tests write the recordings anew. That is
// for a new form, never for a changed one: a recording that differs is a broken promise.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ramppond::compatibility {

/// Whether recordings are to be written in place of being compared.
bool recording();
std::string goldenPath(const std::string& name);
/// The whole file; a failed expectation if there is none.
std::string readFile(const std::string& path);
void writeFile(const std::string& path, const std::string& contents);

std::string toHex(const std::string& bytes);
std::string fromHex(const std::string& digits);

/// A recording of named texts, a line each: "NAME TEXT". Compares them, all names in both.
void expectGolden(const std::string& file, const std::map<std::string, std::string>& actual);
std::map<std::string, std::string> readGolden(const std::string& file);

}  // namespace ramppond::compatibility
