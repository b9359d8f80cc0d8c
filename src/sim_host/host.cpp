#include "sim_host/host.hpp"

#include <exception>
#include <istream>
#include <ostream>
#include <set>

namespace gannethold::sim_host {

using sim_protocol::BadFrame;
using sim_protocol::InstanceId;

std::string Host::answer(const sim_protocol::Batch& batch) {
    std::set<InstanceId> updated_instances;
    std::map<InstanceId, std::string> failures;
    for (const auto& record : batch.records) {
        if (std::holds_alternative<sim_protocol::Killed>(record.body)) {
            if (!instances_.erase(record.instance))
                throw BadFrame("kill of an unknown instance", record.offset);
            updated_instances.erase(record.instance);
            failures.erase(record.instance);
            continue;
        }
        if (failures.contains(record.instance)) continue;
        try {
            if (const auto* created = std::get_if<sim_protocol::Created>(&record.body)) {
                instances_[record.instance].reset();
                instances_[record.instance] = std::make_unique<Balancer>(created->settings, created->seed);
            } else {
                const auto instance = instances_.find(record.instance);
                if (instance == instances_.end())
                    throw BadFrame("event for an instance that was not created", record.offset);
                instance->second->apply(batch.now, std::get<Event>(record.body));
            }
        } catch (const BadFrame&) {
            throw;
        } catch (const std::exception& e) {
            failures[record.instance] = e.what();
        }
        updated_instances.insert(record.instance);
    }
    sim_protocol::ReplyWriter reply;
    std::vector<Action> actions;
    for (const InstanceId instance : updated_instances) {
        actions.clear();
        std::string failure = failures.contains(instance) ? failures[instance] : "";
        if (failure.empty()) {
            try {
                instances_[instance]->collect_actions(batch.now, actions);
            } catch (const std::exception& e) {
                failure = e.what();
            }
        }
        if (actions.empty() && failure.empty()) continue;
        reply.instance(instance);
        if (failure.empty()) {
            for (const Action& action : actions) reply.action(action);
        } else {
            reply.failure(failure);
        }
    }
    return reply.frame();
}

int serve(std::istream& in, std::ostream& out, std::ostream& errors) {
    Host host;
    std::size_t offset = 0;
    std::string bytes;
    try {
        for (;;) {
            bytes.resize(sim_protocol::kHeaderBytes);
            in.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
            if (in.gcount() == 0) return 0;
            bytes.resize(static_cast<std::size_t>(in.gcount()));
            const sim_protocol::Header header = sim_protocol::read_header(bytes, offset);
            offset += bytes.size();
            bytes.resize(header.length);
            in.read(bytes.data(), header.length);
            if (in.gcount() != static_cast<std::streamsize>(header.length))
                throw BadFrame("input ends inside a frame", offset + static_cast<std::size_t>(in.gcount()));
            const std::string reply = host.answer(sim_protocol::read_batch(header, bytes, offset));
            offset += bytes.size();
            out.write(reply.data(), static_cast<std::streamsize>(reply.size())).flush();
        }
    } catch (const std::exception& e) {
        errors << "gannethold_simhost: " << e.what() << '\n';
        return 1;
    }
}

}  // namespace gannethold::sim_host
