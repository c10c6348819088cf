#include "core/node.hpp"
#include "fakes/sample_text.hpp"

#include <iostream>
#include <map>

/**
 * Drives two nodes in one process without any I/O: a simulated clock, a
 * network that is a list of envelopes, and a backend server that answers at
 * once. docs/EMBEDDING.md walks through it.
 */
namespace {

using namespace cranberrywood;
using namespace std::chrono_literals;

/** Two nodes, the messages between them, and what surrounds them. */
class embedding
{
public:
    embedding()
    {
        fakes::sample_shape shape;
        shape.vms = 2;
        m_value = fakes::sample_value(revision_number(1), shape);
        for (const char* name : {"vm-0", "vm-1"}) {
            node_identity self;
            self.vm = id_of<vm_id>(name);
            self.process = incarnation(m_random.next() | 1U);
            self.data_centre = id_of<data_centre_id>("dc-0");
            self.site = "site-0";
            self.started = m_now;
            m_nodes[self.vm] = std::make_unique<node>(self, m_random);
        }
    }

    /** Lets time pass in ticks of ten milliseconds. */
    void run_for(duration d)
    {
        const time_point end = m_now + d;
        while (m_now < end) {
            m_now += 10ms;
            for (auto& [vm, one] : m_nodes) {
                perform(vm, one->tick(m_now));
            }
        }
    }

    /** Gives a node an event and carries out what it asks for. */
    void give(vm_id vm, const event& e)
    {
        perform(vm, m_nodes.at(vm)->handle(e, m_now));
    }

    bool ready() const
    {
        for (const auto& [vm, one] : m_nodes) {
            if (!one->status(m_now).ready) {
                return false;
            }
        }
        return true;
    }

    const std::optional<response>& answer() const
    {
        return m_answer;
    }

private:
    void perform(vm_id vm, const commands& asked_for)
    {
        for (const command& c : asked_for) {
            std::visit([&](const auto& one) { perform(vm, one); }, c);
        }
    }
    void perform(vm_id /*vm*/, const send_to_peer& c)
    {
        give(c.to, peer_received{c.envelope});
    }
    void perform(vm_id vm, const open_backend& c)
    {
        give(vm, backend_connected{c.backend_server,
                                   {incarnation(9), index_version(1),
                                    index_version(1), false}});
    }
    void perform(vm_id vm, const send_to_backend& c)
    {
        backend_reply reply;
        reply.id = c.request.id;
        reply.outcome = backend_outcome::done;
        reply.index = c.request.index;
        reply.oldest = reply.newest = c.request.index;
        const auto shard = std::to_string(c.request.shard.value());
        reply.hits.push_back({shard, 1.0, c.request.body});
        give(vm, backend_replied{c.backend_server, reply});
    }
    void perform(vm_id vm, const read_configuration& c)
    {
        if (c.newer_than < m_value.revision) {
            give(vm, configuration_read{m_value});
        }
    }
    void perform(vm_id /*vm*/, const answer_caller& c)
    {
        m_answer = c.answer;
    }
    // Commands that this small surrounding has no use for.
    void perform(vm_id, const close_backend&) {}
    void perform(vm_id, const cancel_at_backend&) {}
    void perform(vm_id, const read_vm_list&) {}
    void perform(vm_id, const settings_accepted&) {}
    void perform(vm_id, const log_event&) {}
    void perform(vm_id, const stop_process&) {}

    time_point m_now{1h};
    seeded_random m_random{1};
    published_value m_value;
    std::map<vm_id, std::unique_ptr<node>> m_nodes;
    std::optional<response> m_answer;
};

} // namespace

int main()
{
    embedding two;
    two.run_for(10s);
    caller_request request;
    request.token = caller_token(1);
    request.service = "search";
    request.key = "key-w0";
    request.deadline = 320ms;
    request.hit_limit = 10;
    request.body = "curb 90x120";
    two.give(id_of<vm_id>("vm-0"), request);
    two.run_for(1s);
    const auto* a =
        two.answer() ? std::get_if<answered>(&*two.answer()) : nullptr;
    if (!two.ready() || a == nullptr || !a->covers.whole()) {
        std::cerr << "the two nodes gave no whole answer\n";
        return 1;
    }
    std::cout << a->hits.size() << " hits, " << a->covers.covered_keys << " of "
              << a->covers.total_keys << " keys covered\n";
    return 0;
}
