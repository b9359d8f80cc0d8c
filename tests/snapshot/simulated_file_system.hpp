// A simulated file system that a test can fail at any step, also by a power failure. Unsynced data then
// survives completely, partly or not at all, and unsynced names in any combination. Deliberately pessimistic:
// no real file system loses more.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "snapshot/file_system.hpp"

namespace gannethold::snapshot {

struct PowerFailure {};

class SimulatedFileSystem final : public FileSystem {
  public:
    int steps = 0;                                     // taken so far
    int fail_power_at = -1;                            // the step in which power fails
    std::function<bool(const char* step)> step_fails;  // returns whether that step fails with an error

    std::unique_ptr<WritableFile> create(const std::string& path) override {
        take_step("create");
        files_.push_back({});
        const std::size_t file = files_.size() - 1;
        names_[path] = file;
        unsynced_changes_.push_back({{path, file}});
        return std::make_unique<SimulatedFile>(*this, file);
    }
    bool link(const std::string& from, const std::string& to) override {
        take_step("link");
        const auto found = names_.find(from);
        if (found == names_.end() || names_.contains(to)) return false;
        const std::size_t file = found->second;
        names_[to] = file;
        unsynced_changes_.push_back({{to, file}});
        return true;
    }
    void rename(const std::string& from, const std::string& to) override {
        take_step("rename");
        const std::size_t file = names_.at(from);
        names_.erase(from);
        names_[to] = file;
        unsynced_changes_.push_back({{from, kNoFile}, {to, file}});
    }
    void remove(const std::string& path) override {
        take_step("remove");
        if (names_.erase(path) > 0) unsynced_changes_.push_back({{path, kNoFile}});
    }
    void sync_folder(const std::string&) override {
        take_step("sync folder");
        synced_names_ = names_;
        unsynced_changes_.clear();
    }
    std::optional<std::string> read(const std::string& path, std::size_t max_bytes) const override {
        const auto found = names_.find(path);
        if (found == names_.end()) return std::nullopt;
        return files_[found->second].bytes.substr(0, max_bytes);
    }

    // Calls `visit` with every possible state of the file system after a power failure now.
    void for_each_outcome(const std::function<void(SimulatedFileSystem&)>& visit) const {
        const std::size_t subsets = std::size_t{1} << unsynced_changes_.size();
        for (std::size_t survivors = 0; survivors < subsets; ++survivors) {
            const Names names = names_with(survivors);
            for (int pattern = 0; pattern < kPagePatterns; ++pattern) {
                SimulatedFileSystem outcome;
                outcome.names_ = names;
                outcome.synced_names_ = names;
                outcome.files_ = files_;
                const bool is_torn = outcome.tear_unsynced(pattern);
                if (is_torn || pattern == 0) visit(outcome);
            }
        }
    }

  private:
    static constexpr std::size_t kPageBytes = 128;
    static constexpr int kPagePatterns = 9;
    static constexpr std::size_t kNoFile = static_cast<std::size_t>(-1);

    struct Content {
        std::string bytes;
        bool is_synced = false;
    };
    using Names = std::map<std::string, std::size_t>;
    struct NameChange {
        std::string name;
        std::size_t file = kNoFile;  // kNoFile: the name is removed
    };

    class SimulatedFile final : public WritableFile {
      public:
        SimulatedFile(SimulatedFileSystem& file_system, std::size_t file)
            : file_system_(file_system), file_(file) {}
        void append(std::string_view bytes) override {
            std::string& content = file_system_.files_[file_].bytes;
            // Power may fail in the middle: half of it has then reached the cache.
            if (file_system_.steps == file_system_.fail_power_at)
                content += bytes.substr(0, bytes.size() / 2);
            file_system_.take_step("write");
            content += bytes;
        }
        void sync() override {
            file_system_.take_step("sync");
            file_system_.files_[file_].is_synced = true;
        }

      private:
        SimulatedFileSystem& file_system_;
        const std::size_t file_;
    };

    void take_step(const char* step) {
        if (steps++ == fail_power_at) throw PowerFailure{};
        if (step_fails && step_fails(step)) throw std::runtime_error(std::string("cannot ") + step);
    }
    // The synced names with those unsynced changes that are bits of `survivors`.
    Names names_with(std::size_t survivors) const {
        Names names = synced_names_;
        for (std::size_t i = 0; i < unsynced_changes_.size(); ++i) {
            if ((survivors >> i & 1) == 0) continue;
            for (const NameChange& change : unsynced_changes_[i]) {
                if (change.file == kNoFile)
                    names.erase(change.name);
                else
                    names[change.name] = change.file;
            }
        }
        return names;
    }
    // Whether this variant changes any file.
    bool tear_unsynced(int pattern) {
        bool differs = false;
        for (Content& file : files_) {
            if (file.is_synced) continue;
            std::string survivor = surviving_bytes(file.bytes, pattern);
            differs = differs || survivor != file.bytes;
            file.bytes = std::move(survivor);
            file.is_synced = true;
        }
        return differs;
    }
    static void lose_page(std::string& bytes, std::size_t page) {
        const std::size_t end = std::min(bytes.size(), (page + 1) * kPageBytes);
        for (std::size_t i = page * kPageBytes; i < end; ++i) bytes[i] = 0;
    }
    static void lose_every_other_page(std::string& bytes, std::size_t first) {
        for (std::size_t page = first; page * kPageBytes < bytes.size(); page += 2) lose_page(bytes, page);
    }
    // Of unsynced bytes: 0 all, 1 none, then lengths and pages in some order.
    static std::string surviving_bytes(std::string bytes, int pattern) {
        const std::size_t size = bytes.size();
        switch (pattern) {
            case 0:
                return bytes;
            case 1:
                return "";
            case 2:
                return bytes.substr(0, size / 2);
            case 3:
                return bytes.substr(0, size > 0 ? size - 1 : 0);
            case 4:
                return std::string(size, '\0');
            case 5:
                lose_every_other_page(bytes, 0);
                return bytes;
            case 6:
                lose_every_other_page(bytes, 1);
                return bytes;
            case 7:
                if (size > 0) lose_page(bytes, (size - 1) / kPageBytes);
                return bytes;
            default:
                if (size > 0) lose_page(bytes, 0);
                return bytes;
        }
    }

    std::vector<Content> files_;
    Names names_;
    Names synced_names_;
    std::vector<std::vector<NameChange>> unsynced_changes_;  // each survives completely or not at all
};

}  // namespace gannethold::snapshot
