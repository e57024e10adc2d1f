// A store in a folder of its own, which is deleted after the test.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <string>

#include "relay/store.h"

namespace rockcrank {

class StoreTest : public testing::Test {
 protected:
  void SetUp() override { std::filesystem::remove_all(folder_); }
  void TearDown() override { std::filesystem::remove_all(folder_); }
  static StoredDocument document(const std::string& id) {
    StoredDocument held;
    held.id = id, held.body = "body", held.doc_type = "plain", held.max_transmissions = 3, held.expiry = 1e15;
    return held;
  }
  const std::string folder_ = testing::TempDir() + "store-" + std::to_string(::getpid());
};

}  // namespace rockcrank
