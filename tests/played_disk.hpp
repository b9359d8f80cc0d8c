// A disk that a story can fail at any step, or cut the power of: what was not synced is then there wholly, in
// part or not at all, and names that were not synced in any combination. Pessimistic on purpose; no real file
// system is worse.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "snapshot/file_system.hpp"

namespace gannethold::keepsake {

struct PowerCut {};

class PlayedDisk final : public Disk {
  public:
    static constexpr std::size_t kPage = 128;

    int steps = 0;                                // that were taken
    int cut_at = -1;                              // the step in which the power goes
    std::function<bool(const char* what)> fails;  // whether that step ends in an error

    int create(const std::string& path) override {
        step("create");
        files_.push_back({});
        names_[path] = files_.size() - 1;
        pending_.push_back({{path, static_cast<int>(files_.size() - 1)}});
        return static_cast<int>(files_.size() - 1);
    }
    void append(int file, std::string_view bytes) override {
        // The cut may fall inside: half of it has reached the cache.
        if (steps == cut_at)
            files_[static_cast<std::size_t>(file)].bytes += bytes.substr(0, bytes.size() / 2);
        step("write");
        files_[static_cast<std::size_t>(file)].bytes += bytes;
    }
    void sync(int file) override {
        step("sync");
        files_[static_cast<std::size_t>(file)].synced = true;
    }
    void close(int) override {}
    bool link(const std::string& from, const std::string& to) override {
        step("link");
        const auto found = names_.find(from);
        if (found == names_.end() || names_.contains(to)) return false;
        const std::size_t file = found->second;
        names_[to] = file;
        pending_.push_back({{to, static_cast<int>(file)}});
        return true;
    }
    void rename(const std::string& from, const std::string& to) override {
        step("rename");
        const std::size_t file = names_.at(from);
        names_.erase(from);
        names_[to] = file;
        pending_.push_back({{from, -1}, {to, static_cast<int>(file)}});
    }
    void remove(const std::string& path) override {
        step("remove");
        if (names_.erase(path) > 0) pending_.push_back({{path, -1}});
    }
    void sync_folder(const std::string&) override {
        step("sync folder");
        lasting_ = names_;
        pending_.clear();
    }
    std::optional<std::string> read(const std::string& path, std::size_t most) const override {
        const auto found = names_.find(path);
        if (found == names_.end()) return std::nullopt;
        return files_[found->second].bytes.substr(0, most);
    }

    // Every disk that may be found after the power went now.
    void each_after_cut(const std::function<void(PlayedDisk&)>& found) const {
        for (std::size_t kept = 0; kept < (std::size_t{1} << pending_.size()); ++kept) {
            auto names = lasting_;
            for (std::size_t i = 0; i < pending_.size(); ++i) {
                if (!(kept >> i & 1)) continue;
                for (const auto& [name, file] : pending_[i]) {
                    if (file < 0)
                        names.erase(name);
                    else
                        names[name] = static_cast<std::size_t>(file);
                }
            }
            for (int pages = 0; pages < kPagePatterns; ++pages) {
                PlayedDisk after;
                after.files_ = files_;
                bool differs = pages == 0;
                for (File& f : after.files_) {
                    if (f.synced) continue;
                    const std::string torn = survives(f.bytes, pages);
                    differs = differs || torn != f.bytes;
                    f.bytes = torn, f.synced = true;
                }
                after.names_ = after.lasting_ = names;
                if (differs) found(after);
            }
        }
    }

  private:
    struct File {
        std::string bytes;
        bool synced = false;
    };
    static constexpr int kPagePatterns = 9;

    void step(const char* what) {
        if (steps++ == cut_at) throw PowerCut{};
        if (fails && fails(what)) throw std::runtime_error(std::string("cannot ") + what);
    }
    // What is left of bytes that were not synced: 0 all, 1 none, then lengths and pages in any order.
    static std::string survives(std::string bytes, int pattern) {
        const std::size_t size = bytes.size(), all = (size + kPage - 1) / kPage;
        const auto lose = [&](std::size_t page) {
            for (std::size_t i = page * kPage; i < std::min(size, (page + 1) * kPage); ++i) bytes[i] = 0;
        };
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
                for (std::size_t p = 0; p < all; p += 2) lose(p);
                return bytes;
            case 6:
                for (std::size_t p = 1; p < all; p += 2) lose(p);
                return bytes;
            case 7:
                if (all > 0) lose(all - 1);
                return bytes;
            default:
                if (all > 0) lose(0);
                return bytes;
        }
    }

    std::vector<File> files_;
    std::map<std::string, std::size_t> names_, lasting_;
    std::vector<std::vector<std::pair<std::string, int>>>
        pending_;  // changes of names, each whole or not at all
};

}  // namespace gannethold::keepsake
