#ifndef CRANBERRYWOOD_TESTS_FAKES_RESTORABLE_STORE_HPP
#define CRANBERRYWOOD_TESTS_FAKES_RESTORABLE_STORE_HPP

#include "systems/store/store_messages.hpp"

#include <map>

namespace cranberrywood {

/**
 * The platform's store with its history, which can come back from an older
 * copy: it then forgets the later writes and assigns their revisions again.
 */
class restorable_store
{
public:
    void put(const std::string& key, store_value value);
    void remove(const std::string& key);
    /** Goes back to the state right after a revision, in a new era. */
    void restore(store_revision copy);

    store_position at() const
    {
        return {m_era, store_revision(m_history.size())};
    }
    /** Returns all items of an area. */
    store_page list(store_area area) const;
    /** Returns the changes after a revision, or why it cannot. */
    std::variant<store_page, store_fault> watch(store_area area,
                                                store_revision after) const;
    /** Returns the value that an item's bytes stand for. */
    store_value value_of(const std::string& bytes) const;
    /** Answers a call of a follower. */
    std::variant<store_page, store_fault> answer(store_area area,
                                                 const store_call& call) const;

private:
    struct write
    {
        std::string key;
        store_value value;
        /** Number of the write among all that were ever made. */
        std::size_t number = 0;
    };

    void append(const std::string& key, store_value value);
    store_change change_at(std::size_t revision) const;
    bool is_in(store_area area, const std::string& key) const;

    store_era m_era{1};
    /** Revision n is the write at index n - 1. */
    std::vector<write> m_history;
    /** All values that were ever written. */
    std::vector<store_value> m_values;
};

/** Key of an operator's item; all other keys are servers' entries. */
std::string operator_key(const std::string& name);

} // namespace cranberrywood

#endif
