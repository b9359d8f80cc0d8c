// Stored and sent formats are compared with examples in fixtures/, so that later versions stay compatible.
// The examples were written once by `cluster_formats --write-fixtures DIRECTORY`; the tests only read them.
#pragma once

#include <filesystem>
#include <string>

#include "required.hpp"

namespace gannethold::cluster::tests {

void write_encoded_examples(const std::filesystem::path& folder);
void write_store_examples(const std::filesystem::path& fixtures);

inline std::filesystem::path fixtures() { return FIXTURES; }

}  // namespace gannethold::cluster::tests
