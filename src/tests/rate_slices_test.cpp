#include "core/random_source.hpp"
#include "systems/rates/rate_slices.hpp"

#include <CppUTest/TestHarness.h>
#include <deque>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

const workspace_id workspace{3};

std::shared_ptr<const catalogue> limits(double rate, double burst)
{
    auto settings = std::make_shared<catalogue>();
    workspace_entry entry;
    entry.id = workspace;
    entry.name = "desk";
    entry.rate = rate;
    entry.burst = burst;
    settings->add_workspace(entry, {"key"});
    return settings;
}

/** A datagram on its way between two VMs of a run. */
struct flying
{
    time_point at;
    std::size_t from = 0;
    std::size_t to = 0;
    std::optional<rate_ask> ask;
    std::optional<rate_grant> grant;
};

/** VMs that share a rate over a network that loses, delays and cuts. */
class slice_fleet
{
public:
    slice_fleet(std::size_t vms, double rate, double burst, std::uint64_t seed)
        : m_random(seed), m_slices(vms), m_frozen_until(vms)
    {
        for (rate_slices& slice : m_slices) {
            slice.catalogue_changed(limits(rate, burst));
            slice.fleet_changed(static_cast<std::uint32_t>(vms));
        }
    }

    /** Runs a step of 10 ms; demand goes to a few VMs. */
    void step(double per_second)
    {
        m_now += 10ms;
        if (m_random.below(200) == 0) {
            m_cut = !m_cut;
        }
        if (m_random.below(300) == 0) {
            m_frozen_until[m_random.below(m_slices.size())] = m_now + 4s;
        }
        deliver();
        ask();
        const double share = per_second / 100.0;
        for (double left = share; left > 0.0; left -= 1.0) {
            const bool comes =
                left >= 1.0 || m_random.below(1000) < left * 1000.0;
            const std::size_t vm = m_random.below(2);
            if (comes && !frozen(vm) && !m_slices[vm].take(workspace, m_now)) {
                m_admitted.push_back(m_now);
                ++m_total;
            }
        }
        // What is admitted right now by all, if each used all it has.
        std::uint64_t sum = 0;
        for (rate_slices& slice : m_slices) {
            sum += slice.rate_milli(workspace, m_now);
        }
        m_greatest_sum = std::max(m_greatest_sum, sum);
    }

    /** Returns the requests admitted in the last window. */
    std::size_t admitted_within(duration window)
    {
        while (!m_admitted.empty() && m_now - m_admitted.front() >= window) {
            m_admitted.pop_front();
        }
        return m_admitted.size();
    }
    std::uint64_t greatest_sum() const
    {
        return m_greatest_sum;
    }
    std::uint64_t total() const
    {
        return m_total;
    }

private:
    bool frozen(std::size_t vm) const
    {
        return m_now < m_frozen_until[vm];
    }
    bool lost(std::size_t from, std::size_t to)
    {
        const bool other_side = m_cut && from % 2 != to % 2;
        return other_side || m_random.below(10) == 0;
    }
    duration delay()
    {
        return std::chrono::milliseconds(1 + m_random.below(30));
    }
    void ask()
    {
        for (std::size_t vm = 0; vm < m_slices.size(); ++vm) {
            if (frozen(vm) || m_random.below(20) != 0) {
                continue;
            }
            std::vector<std::string> peers;
            for (std::size_t other = 0; other < m_slices.size(); ++other) {
                if (other != vm) {
                    peers.push_back(std::to_string(other));
                }
            }
            for (const addressed_ask& a : m_slices[vm].asks(peers, m_now)) {
                const auto to = static_cast<std::size_t>(std::stoul(a.to));
                if (!lost(vm, to)) {
                    m_flying.push_back({m_now + delay(), vm, to, a.ask, {}});
                }
            }
        }
    }
    void deliver()
    {
        std::deque<flying> later;
        for (const flying& f : std::exchange(m_flying, {})) {
            if (f.at > m_now || frozen(f.to)) {
                later.push_back(f);
            } else if (f.ask) {
                const auto grant =
                    m_slices[f.to].lend(std::to_string(f.from), *f.ask, m_now);
                if (grant && !lost(f.to, f.from)) {
                    later.push_back({m_now + delay(), f.to, f.from, {}, grant});
                }
            } else {
                m_slices[f.to].borrowed(std::to_string(f.from), *f.grant);
            }
        }
        for (const flying& f : m_flying) {
            later.push_back(f);
        }
        m_flying = std::move(later);
    }

    seeded_random m_random;
    std::vector<rate_slices> m_slices;
    std::vector<time_point> m_frozen_until;
    std::deque<flying> m_flying;
    std::deque<time_point> m_admitted;
    time_point m_now{1h};
    bool m_cut = false;
    std::uint64_t m_greatest_sum = 0;
    std::uint64_t m_total = 0;
};

} // namespace

TEST_GROUP(rate_slices)
{
    rate_slices lender;
    rate_slices borrower;
    time_point now{1h};

    void setup() override
    {
        for (rate_slices* slices : {&lender, &borrower}) {
            slices->catalogue_changed(limits(20.0, 20.0));
            slices->fleet_changed(2);
        }
    }
    /** Makes the borrower need more than its slice of 10 a second. */
    rate_ask need()
    {
        for (int i = 0; i < 300; ++i) {
            now += 10ms;
            borrower.take(workspace, now);
        }
        const auto asks = borrower.asks({"lender"}, now);
        CHECK_EQUAL(1, asks.size());
        return asks[0].ask;
    }
};

TEST(rate_slices, a_slice_is_an_equal_part)
{
    CHECK_EQUAL(10000U, lender.rate_milli(workspace, now));
    lender.fleet_changed(4);
    CHECK_EQUAL(5000U, lender.rate_milli(workspace, now));
}

TEST(rate_slices, a_loan_moves_rate_for_its_term)
{
    const rate_ask ask = need();
    const auto grant = lender.lend("borrower", ask, now);
    CHECK(grant.has_value());
    const std::uint64_t lent = grant->rate_milli;
    CHECK(lent > 5000U);
    CHECK_EQUAL(10000U - lent, lender.rate_milli(workspace, now));
    borrower.borrowed("lender", *grant);
    CHECK_EQUAL(10000U + lent, borrower.rate_milli(workspace, now));
    CHECK_EQUAL(10000U, borrower.rate_milli(workspace, now + 1950ms));
    CHECK_EQUAL(10000U - lent, lender.rate_milli(workspace, now + 1999ms));
    CHECK_EQUAL(10000U, lender.rate_milli(workspace, now + 2s));
}

TEST(rate_slices, a_late_grant_ends_by_the_time_of_its_ask)
{
    const rate_ask ask = need();
    const time_point asked = now;
    const auto grant = lender.lend("borrower", ask, now + 900ms);
    borrower.borrowed("lender", *grant);
    CHECK_EQUAL(10000U, borrower.rate_milli(workspace, asked + 1950ms));
}

TEST(rate_slices, an_unknown_or_repeated_grant_is_dropped)
{
    const rate_ask ask = need();
    const auto grant = lender.lend("borrower", ask, now);
    rate_grant forged = *grant;
    forged.ask += 7;
    borrower.borrowed("lender", forged);
    CHECK_EQUAL(10000U, borrower.rate_milli(workspace, now));
    borrower.borrowed("lender", *grant);
    borrower.borrowed("other", *grant);
    CHECK_EQUAL(10000U + grant->rate_milli,
                borrower.rate_milli(workspace, now));
}

TEST(rate_slices, a_lender_keeps_what_it_needs_itself)
{
    const rate_ask ask = need();
    for (int i = 0; i < 300; ++i) {
        lender.take(workspace, now - 3s + i * 10ms);
    }
    CHECK(!lender.lend("borrower", ask, now).has_value());
}

TEST(rate_slices, a_workspace_without_a_limit_is_never_refused)
{
    for (int i = 0; i < 1000; ++i) {
        CHECK(!lender.take(workspace_id(99), now).has_value());
    }
}

// Two of six VMs get all the demand while datagrams are lost and delayed,
// the fleet is cut in halves and VMs freeze.
TEST(rate_slices, the_sum_of_all_slices_never_passes_the_rate)
{
    constexpr double rate = 60.0;
    constexpr double burst = 30.0;
    constexpr duration window = 5s;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        slice_fleet fleet(6, rate, burst, seed);
        for (int step = 0; step < 6000; ++step) {
            fleet.step(300.0);
            CHECK(fleet.admitted_within(window) <= rate * 5.0 + burst);
        }
        CHECK(fleet.greatest_sum() <= 60000U);
        // Without loans the two could admit a third of the rate.
        CHECK(fleet.total() > 60U * 60U / 2U);
    }
}
